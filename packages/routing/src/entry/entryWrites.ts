import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { failWith } from "@vanillarouter/base/failWith";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { KnownPrimary } from "../group/knownPrimary";
import { PrimaryClient } from "../group/primaryClient";
import { OwnerResponse } from "../owner/ownerResponse";
import { AdmittedRequest } from "./admittedRequest";
import { EntryContext } from "./entryContext";
import { StatementKind } from "./statementKind";

/** Share of a request's time that is reserved for resolving its outcome after a lost response, and the maximum in milliseconds. */
const resolveReserveShare = 0.2;
const maxResolveReserveMs = 200;
/** Delay before the next attempt to resolve an outcome, in milliseconds. */
const resolveRetryDelayMs = 20;

/** Runs writes on the owner of the group's primary until their outcome is known. */
export class EntryWrites {
    private constructor(private readonly context: EntryContext, private readonly primaryClient: PrimaryClient) {}

    public static create(context: EntryContext, primaryClient: PrimaryClient): EntryWrites {
        return new EntryWrites(context, primaryClient);
    }

    /**
     * Runs a write. After a lost response the write is sent again under the same id, which the group executes at most once.
     * With little time left, or after a refusal, its outcome is resolved by the group instead. A failure says that the
     * write did not run only if no attempt is left unresolved.
     */
    public *execute(request: AdmittedRequest): Operation<Result<OwnerResponse, Failure>> {
        const reserveMs = Math.min(maxResolveReserveMs, resolveReserveShare * (request.deadline - this.context.clock.now()));
        const { result, isUnresolved } = yield* this.primaryClient.call(
            request,
            reserveMs,
            true,
            (primary, timeoutMs) => this.send(request, primary, timeoutMs),
        );
        if (result.ok || !(isUnresolved || this.isRefusedRetry(request, result.val))) return result;
        return yield* this.resolve(request, request.req.requestId);
    }

    /** Whether a failure says that this attempt did not run, but an earlier attempt under the same id may have run. */
    public isRefusedRetry(request: AdmittedRequest, failure: Failure): boolean {
        const isRefusal = failure.outcome === RunOutcome.DidNotRun && failure.code !== Diagnostics.requestCancelled.code;
        return request.req.isRetry === true && isRefusal;
    }

    /** Queries the group for the outcome of a request until it is known or the deadline is reached. */
    public *resolve(request: AdmittedRequest, requestId: string): Operation<Result<OwnerResponse, Failure>> {
        const { clock, finder, metrics } = this.context;
        const group = request.group.name;
        metrics.resolutions++;
        while (clock.now() < request.deadline) {
            const primary = finder.find(group);
            if (primary === undefined) {
                yield* finder.waitUntil(() => finder.find(group) !== undefined, request.deadline - clock.now());
                continue;
            }
            const result = yield* this.primaryClient.callOnce(
                request,
                primary,
                (current, timeoutMs) => current.owner.resolveOutcome({ requestId, group, upstream: current.upstream, term: current.term, timeoutMs }),
            );
            // A refused or lost query does not tell whether the request ran; only a recorded cancellation does.
            if (result.ok || result.val.code === Diagnostics.requestCancelled.code) return result;
            finder.learnFromFailure(result.val);
            yield* finder.waitUntil(() => finder.hasPrimaryOrOwnerChanged(group, primary), Math.min(resolveRetryDelayMs, request.deadline - clock.now()));
        }
        return failWith(createFailure(Diagnostics.outcomeUnknown, RunOutcome.Unknown, requestId));
    }

    private *send(request: AdmittedRequest, primary: KnownPrimary, timeoutMs: number): Operation<Result<OwnerResponse, Failure>> {
        const { req, workClass } = request;
        const result = yield* primary.owner.execute({
            requestId: req.requestId,
            upstream: primary.upstream,
            group: request.group.name,
            className: workClass.name,
            rank: workClass.rank,
            franchisee: req.franchisee,
            kind: StatementKind.Write,
            sql: req.sql,
            timeoutMs,
            term: primary.term,
            repeatable: req.repeatable,
        });
        if (result.ok && result.val.requestId !== req.requestId) {
            return failWith(createFailure(Diagnostics.outcomeUnknown, RunOutcome.Unknown, req.requestId));
        }
        return result;
    }
}
