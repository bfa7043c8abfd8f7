import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { sleep } from "@vanillarouter/base/sleep";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { UpstreamAnswer } from "../group/upstreamAnswer";
import { OwnerContext } from "../owner/ownerContext";
import { RecordedOutcome } from "./recordedOutcome";

/** Delay between attempts to reach the group, in milliseconds. */
const retryDelayMs = 20;
/** Longest time that one question to the upstream may take, in milliseconds. */
const longestQuestionMs = 1_000;

/**
 * Finds the outcome of a request whose answer was lost: what the group has recorded under its id, or a cancellation
 * recorded now. Either counts only once a majority holds it under the current term. Holds no slot.
 */
export class OutcomeResolver {
    private constructor(private readonly context: OwnerContext) {}

    public static create(context: OwnerContext): OutcomeResolver {
        return new OutcomeResolver(context);
    }

    /** Ok: the recorded answer. Failure DidNotRun: recorded as cancelled. Failure Unknown: neither by `deadline`. */
    public *resolve(requestId: string, deadline: number): Operation<Result<UpstreamAnswer, Failure>> {
        const { clock } = this.context;
        while (clock.now() < deadline) {
            const term = this.findTerm();
            if (term === undefined) return this.fail(requestId);
            const record = yield* this.settleRecord(requestId, term, deadline);
            if (record !== undefined && (yield* this.secure(record.at, term, deadline))) return this.convert(requestId, record);
            yield* sleep(clock, Math.min(retryDelayMs, Math.max(0, deadline - clock.now())));
        }
        return this.fail(requestId);
    }

    /**
     * Waits until a majority holds an entry of `term` at or past `at`. An entry of an older term that merely exists on a
     * new primary is not safe yet; an upstream holds an entry of the current term only together with all before it.
     */
    public *secure(at: LogPosition, term: number, deadline: number): Operation<boolean> {
        const entry = { term, position: at.position };
        return (yield* this.context.confirmation.wait(entry, deadline - this.context.clock.now())) ?? false;
    }

    /** Term in which the owned upstream is primary, as far as this VM knows. */
    public findTerm(): number | undefined {
        const view = this.context.groups.find(this.context.group.name);
        return view?.primary === this.context.upstream.id ? view.term : undefined;
    }

    public fail<T>(requestId: string): Result<T, Failure> {
        return Err(createFailure(Diagnostics.outcomeUnknown, RunOutcome.Unknown, requestId));
    }

    /** Looks the id up first, as a cancellation of a recorded id would wait behind other writes for nothing. */
    private *settleRecord(requestId: string, term: number, deadline: number): Operation<RecordedOutcome | undefined> {
        const found = yield* this.context.control.lookUp(requestId, this.limitQuestion(deadline));
        if (found.ok && found.val !== undefined) return found.val;
        if (this.context.clock.now() >= deadline) return undefined;
        const cancelled = yield* this.context.control.cancel(requestId, term, this.limitQuestion(deadline));
        return cancelled.ok ? cancelled.val : undefined;
    }

    private limitQuestion(deadline: number): number {
        return Math.max(1, Math.min(longestQuestionMs, deadline - this.context.clock.now()));
    }

    private convert(requestId: string, record: RecordedOutcome): Result<UpstreamAnswer, Failure> {
        if (record.cancelled) return Err(createFailure(Diagnostics.requestCancelled, RunOutcome.DidNotRun, requestId));
        const result: StatementResult = { columns: [], rows: [], affectedRows: record.affectedRows, insertId: record.insertId, info: "" };
        return Ok({ result, at: record.at, recordedBefore: true });
    }
}
