import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { GroupDirectory } from "@vanillarouter/routing/group/groupDirectory";
import { TermResponse } from "@vanillarouter/routing/group/termResponse";
import { UpstreamControl } from "@vanillarouter/routing/group/upstreamControl";
import { Err, Ok, Result } from "ts-results";
import { choosePrimary } from "./choosePrimary";
import { collectResponses } from "./collectResponses";
import { Diagnostics } from "./diagnostics";
import { failoverLimits } from "./failoverLimits";

/** Parameters of one attempt to elect a primary of a group. */
interface ElectionOptions {
    readonly clock: Clock;
    readonly tasks: TaskGroup;
    readonly group: string;
    readonly controls: readonly UpstreamControl[];
    readonly groups: GroupDirectory;
    /** Term to request; higher than every term that the candidate has seen or requested before. */
    readonly term: number;
    /** Upstreams that should not become primary if a majority exists without them. */
    readonly avoided: ReadonlySet<string>;
    readonly preferred?: string;
}

interface UpstreamTermResponse {
    readonly upstream: string;
    readonly response: TermResponse;
}

function* requestTerm(control: UpstreamControl, term: number): Operation<UpstreamTermResponse | undefined> {
    const result = yield* control.acceptTerm(term, failoverLimits.acceptTimeoutMs);
    return result.ok ? { upstream: control.upstream, response: result.val } : undefined;
}

function filterAccepted(responses: readonly (UpstreamTermResponse | undefined)[]): readonly UpstreamTermResponse[] {
    return responses.filter((result): result is UpstreamTermResponse => result?.response.accepted === true);
}

function isMajorityWithoutAvoided(accepted: readonly UpstreamTermResponse[], options: ElectionOptions, quorum: number): boolean {
    return accepted.filter(member => !options.avoided.has(member.upstream)).length >= quorum;
}

/** Creates the failure for a term that no majority accepted. Its details contain the highest term that an upstream reported. */
function createTermFailure(options: ElectionOptions, responses: readonly (UpstreamTermResponse | undefined)[], quorum: number): Failure {
    const accepted = filterAccepted(responses).length;
    const highestTerm = Math.max(options.term, ...responses.map(result => result?.response.acceptedTerm ?? 0));
    const failure = createFailure(Diagnostics.termNotAccepted, RunOutcome.Ran, options.group, options.term, accepted, quorum);
    return { ...failure, details: { highestTerm } };
}

function publishView(options: ElectionOptions, primary?: string): void {
    options.groups.learn({ group: options.group, term: options.term, primary });
}

/**
 * Requests acceptance of a term from all upstreams, promotes the one with the highest last log entry and makes the others
 * follow it. Returns the id of the new primary. Fails with `termNotAccepted` if no majority accepts the term, and with
 * `promotionFailed` if the promotion fails or its outcome is unknown.
 *
 * Only one candidate can get a majority in a term, and it promotes only one upstream in that term: if the response to the
 * promotion is lost, the next attempt uses a higher term. So no term ever has two primaries.
 */
export function* electPrimary(options: ElectionOptions): Operation<Result<string, Failure>> {
    const { clock, tasks, controls, term } = options;
    const quorum = Math.floor(controls.length / 2) + 1;
    const requests = controls.map(control => requestTerm(control, term));
    const isEnough = (responses: readonly (UpstreamTermResponse | undefined)[]): boolean =>
        isMajorityWithoutAvoided(filterAccepted(responses), options, quorum);
    const responses = yield* collectResponses(clock, tasks, requests, isEnough, failoverLimits.acceptGraceMs);
    const accepted = filterAccepted(responses);
    if (accepted.length < quorum) return Err(createTermFailure(options, responses, quorum));
    publishView(options);
    const chosen = choosePrimary(accepted, quorum, options.avoided, options.preferred);
    const promoted = yield* controls.find(control => control.upstream === chosen)!.promote(term, failoverLimits.promoteTimeoutMs);
    if (promoted.err) return Err(createFailure(Diagnostics.promotionFailed, RunOutcome.Unknown, options.group, chosen, term, promoted.val.message));
    publishView(options, chosen);
    for (const control of controls) {
        if (control.upstream !== chosen) tasks.start(control.follow(term, chosen, failoverLimits.followTimeoutMs));
    }
    return Ok(chosen);
}
