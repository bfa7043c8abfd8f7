import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { TermResponse } from "@vanillarouter/routing/group/termResponse";

/** An upstream that accepted the candidate's term. */
interface AcceptedUpstream {
    readonly upstream: string;
    readonly response: TermResponse;
}

/**
 * Chooses the upstream to promote: the one with the highest last log entry by term, then position. Every majority that
 * accepted the term includes an upstream with each acknowledged entry, so the highest of these logs contains them all.
 *
 * Upstreams in `avoided` are skipped as long as the others form a majority by themselves. Of upstreams with equal last
 * entries, `preferred` is chosen if it is one of them.
 */
export function choosePrimary(accepted: readonly AcceptedUpstream[], quorum: number, avoided: ReadonlySet<string>, preferred?: string): string {
    const notAvoided = accepted.filter(({ upstream }) => !avoided.has(upstream));
    const eligible = notAvoided.length >= quorum ? notAvoided : accepted;
    const best = eligible.reduce((first, second) => {
        const order = compareLogPositions(second.response.received, first.response.received);
        if (order !== 0) return order > 0 ? second : first;
        return second.upstream === preferred ? second : first;
    });
    return best.upstream;
}
