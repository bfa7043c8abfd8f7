import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { sleep } from "@vanillarouter/base/sleep";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { UpstreamResponse } from "../group/upstreamResponse";
import { OwnerContext } from "../owner/ownerContext";
import { RecordedOutcome } from "./recordedOutcome";

/** Delay between attempts to reach the group, in milliseconds. */
const retryDelayMs = 20;
/** Maximum time of one query to the upstream, in milliseconds. */
const maxQueryTimeoutMs = 1_000;

/**
 * Determines the outcome of a request whose response was lost: the group's record of its id or, without a record, a
 * cancellation that is recorded now. Either is valid only once a majority holds it under the current term. Resolving an
 * outcome takes no slot of the upstream.
 */
export class OutcomeResolver {
    private constructor(private readonly context: OwnerContext) {}

    public static create(context: OwnerContext): OutcomeResolver {
        return new OutcomeResolver(context);
    }

    /**
     * Returns the recorded response, a failure with outcome DidNotRun if the id is recorded as cancelled, or a failure with
     * outcome Unknown if neither is established by `deadline`.
     */
    public *resolve(requestId: string, deadline: number): Operation<Result<UpstreamResponse, Failure>> {
        const { clock } = this.context;
        while (clock.now() < deadline) {
            const term = this.findTerm();
            if (term === undefined) return this.failUnknown(requestId);
            const record = yield* this.lookUpOrCancel(requestId, term, deadline);
            if (record !== undefined && (yield* this.waitForMajority(record.at, term, deadline))) return this.createResponse(requestId, record);
            yield* sleep(clock, Math.min(retryDelayMs, Math.max(0, deadline - clock.now())));
        }
        return this.failUnknown(requestId);
    }

    /**
     * Waits until a majority holds a log entry of `term` at or after `at`. An entry of an older term that exists only on a new
     * primary is not safe yet. An upstream holds an entry of the current term only together with all entries before it.
     */
    public *waitForMajority(at: LogPosition, term: number, deadline: number): Operation<boolean> {
        const entry = { term, position: at.position };
        return (yield* this.context.confirmation.wait(entry, deadline - this.context.clock.now())) ?? false;
    }

    /** Returns the term in which the owned upstream is primary, as far as this VM knows. */
    public findTerm(): number | undefined {
        const view = this.context.groups.find(this.context.group.name);
        return view?.primary === this.context.upstream.id ? view.term : undefined;
    }

    public failUnknown<T>(requestId: string): Result<T, Failure> {
        return Err(createFailure(Diagnostics.outcomeUnknown, RunOutcome.Unknown, requestId));
    }

    /** Looks up the id first, because cancelling a recorded id would needlessly queue behind other writes. */
    private *lookUpOrCancel(requestId: string, term: number, deadline: number): Operation<RecordedOutcome | undefined> {
        const found = yield* this.context.control.lookUp(requestId, this.computeQueryTimeoutMs(deadline));
        if (found.ok && found.val !== undefined) return found.val;
        if (this.context.clock.now() >= deadline) return undefined;
        const cancelled = yield* this.context.control.cancel(requestId, term, this.computeQueryTimeoutMs(deadline));
        return cancelled.ok ? cancelled.val : undefined;
    }

    private computeQueryTimeoutMs(deadline: number): number {
        return Math.max(1, Math.min(maxQueryTimeoutMs, deadline - this.context.clock.now()));
    }

    private createResponse(requestId: string, record: RecordedOutcome): Result<UpstreamResponse, Failure> {
        if (record.cancelled) return Err(createFailure(Diagnostics.requestCancelled, RunOutcome.DidNotRun, requestId));
        const result: StatementResult = { columns: [], rows: [], affectedRows: record.affectedRows, insertId: record.insertId, info: "" };
        return Ok({ result, at: record.at, recordedBefore: true });
    }
}
