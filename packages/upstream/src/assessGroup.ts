import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";
import { GroupAssessment } from "./groupAssessment";
import { GroupCondition } from "./groupCondition";

/**
 * Concludes from upstream states whether the group's primary can still get writes confirmed.
 *
 * A primary needs a majority of the group, itself included. It is lost when fewer replicas hear it than that takes. If
 * it answers the candidate itself, replicas must state the loss; an unreachable replica is no evidence, as an election
 * would not bring it back. A primary that a replica still hears is left alone, even if the candidate cannot reach it.
 *
 * `readSilenceLimit` gives the silence in milliseconds from which a replica counts as having lost a primary.
 */
export function assessGroup(statuses: readonly UpstreamStatus[], size: number, readSilenceLimit: (primary: string) => number): GroupAssessment {
    const quorum = Math.floor(size / 2) + 1;
    const term = Math.max(0, ...statuses.map(status => status.acceptedTerm));
    const base = { term, reachable: statuses.length, strays: [], silenceMs: 0 };
    const current = statuses.filter(status => status.acceptedTerm === term);
    const own = current.find(status => status.isPrimary);
    const primary = own?.upstream ?? current.find(status => status.primary !== undefined)?.primary;
    if (statuses.length < quorum) return { ...base, condition: GroupCondition.MajorityUnreachable, primary };
    if (term === 0) return { ...base, condition: GroupCondition.NeverStarted };
    if (primary === undefined) return { ...base, condition: GroupCondition.TermOpen };
    const followers = current.filter(status => !status.isPrimary && status.primary === primary);
    const silenceLimitMs = readSilenceLimit(primary);
    const silent = followers.filter(status => status.primarySilenceMs >= silenceLimitMs);
    const hearing = followers.length - silent.length;
    const isLost = own === undefined ? hearing < quorum - 1 : silent.length > size - quorum;
    const silenceMs = silent.length === 0 ? 0 : Math.min(...silent.map(status => status.primarySilenceMs));
    if (isLost) return { ...base, condition: GroupCondition.PrimaryLost, primary, silenceMs };
    const strays = statuses.filter(status => status.upstream !== primary && !followers.includes(status)).map(status => status.upstream);
    return { ...base, condition: GroupCondition.Healthy, primary, strays };
}
