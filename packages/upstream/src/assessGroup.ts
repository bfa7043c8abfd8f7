import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";
import { GroupAssessment } from "./groupAssessment";
import { GroupCondition } from "./groupCondition";

/**
 * Determines from the statuses of a group's upstreams whether the primary can still get writes confirmed.
 *
 * A primary needs a majority of the group, itself included. It counts as lost when too few replicas receive its
 * heartbeats to form that majority. If the primary itself responds to the candidate, the loss must be reported by replicas:
 * an unreachable replica is no evidence, since an election would not bring it back. A primary from which enough replicas
 * still receive heartbeats is not replaced, even if the candidate cannot reach it.
 *
 * `getSilenceLimit` returns how many milliseconds without contact make a replica count as having lost the given primary.
 */
export function assessGroup(statuses: readonly UpstreamStatus[], groupSize: number, getSilenceLimit: (primary: string) => number): GroupAssessment {
    const quorum = Math.floor(groupSize / 2) + 1;
    const term = Math.max(0, ...statuses.map(status => status.acceptedTerm));
    const baseAssessment = { term, reachable: statuses.length, nonFollowers: [], silenceMs: 0 };
    const statusesOfTerm = statuses.filter(status => status.acceptedTerm === term);
    const primaryStatus = statusesOfTerm.find(status => status.isPrimary);
    const primary = primaryStatus?.upstream ?? statusesOfTerm.find(status => status.primary !== undefined)?.primary;
    if (statuses.length < quorum) return { ...baseAssessment, condition: GroupCondition.MajorityUnreachable, primary };
    if (term === 0) return { ...baseAssessment, condition: GroupCondition.NeverStarted };
    if (primary === undefined) return { ...baseAssessment, condition: GroupCondition.TermOpen };
    const followers = statusesOfTerm.filter(status => !status.isPrimary && status.primary === primary);
    const silenceLimitMs = getSilenceLimit(primary);
    const withoutContact = followers.filter(status => status.primarySilenceMs >= silenceLimitMs);
    const inContactCount = followers.length - withoutContact.length;
    const isLost = primaryStatus === undefined ? inContactCount < quorum - 1 : withoutContact.length > groupSize - quorum;
    const silenceMs = withoutContact.length === 0 ? 0 : Math.min(...withoutContact.map(status => status.primarySilenceMs));
    if (isLost) return { ...baseAssessment, condition: GroupCondition.PrimaryLost, primary, silenceMs };
    const nonFollowers = statuses.filter(status => status.upstream !== primary && !followers.includes(status)).map(status => status.upstream);
    return { ...baseAssessment, condition: GroupCondition.Healthy, primary, nonFollowers };
}
