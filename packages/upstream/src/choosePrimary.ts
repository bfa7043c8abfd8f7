import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { TermAnswer } from "@vanillarouter/routing/group/termAnswer";

/** An upstream that accepted the candidate's term. */
interface AcceptedUpstream {
    readonly upstream: string;
    readonly answer: TermAnswer;
}

/**
 * Chooses the upstream to promote: the highest last entry by term, then position. Every acknowledged entry is held by
 * an upstream of any majority that accepted the term, so the highest of a majority contains all of them.
 *
 * Upstreams in `avoided` are passed over as long as the others form a majority by themselves. Among equal ones the
 * preferred upstream comes first.
 */
export function choosePrimary(accepted: readonly AcceptedUpstream[], quorum: number, avoided: ReadonlySet<string>, preferred?: string): string {
    const others = accepted.filter(({ upstream }) => !avoided.has(upstream));
    const candidates = others.length >= quorum ? others : accepted;
    const best = candidates.reduce((first, second) => {
        const order = compareLogPositions(second.answer.received, first.answer.received);
        if (order !== 0) return order > 0 ? second : first;
        return second.upstream === preferred ? second : first;
    });
    return best.upstream;
}
