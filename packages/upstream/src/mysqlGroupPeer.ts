import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { GroupPeer } from "@vanillarouter/routing/group/groupPeer";
import { TermAnswer } from "@vanillarouter/routing/group/termAnswer";
import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";
import { RecordedOutcome } from "@vanillarouter/routing/outcomes/recordedOutcome";
import { Err, Ok, Result } from "ts-results";
import { ControlLink } from "./controlLink";
import { Diagnostics } from "./diagnostics";
import { readStatusRow } from "./readStatusRow";
import { ReceivedWaiters } from "./receivedWaiters";
import { UpstreamCredentials } from "./upstreamCredentials";

function quote(text: string): string {
    return `'${text.replace(/[\\']/g, "\\$&")}'`;
}

/**
 * The control side of an upstream over `CALL vr_...`. Waits for entries use a connection of their own, so that a wait
 * does not hold up a status or a term. Each connection is opened at its first use.
 */
export class MysqlGroupPeer implements GroupPeer {
    public readonly upstream: string;
    private readonly link: ControlLink;
    private readonly waiters: ReceivedWaiters;

    private constructor(settings: UpstreamSettings, credentials: UpstreamCredentials, private readonly clock: Clock) {
        this.upstream = settings.id;
        this.link = ControlLink.create(settings, credentials, clock);
        this.waiters = ReceivedWaiters.create(settings.id, ControlLink.create(settings, credentials, clock));
    }

    public static create(settings: UpstreamSettings, credentials: UpstreamCredentials, clock: Clock): MysqlGroupPeer {
        return new MysqlGroupPeer(settings, credentials, clock);
    }

    public get disconnected(): Signal<void> {
        return this.link.disconnected;
    }

    public readStatus(timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        return this.callForStatus("CALL vr_status()", timeoutMs);
    }

    public *acceptTerm(term: number, timeoutMs: number): Operation<Result<TermAnswer, Failure>> {
        const result = yield* this.link.call(`CALL vr_accept_term(${term})`, timeoutMs);
        if (result.err) return result;
        const [accepted, acceptedTerm, receivedTerm, position] = (result.val.rows[0] ?? []).map(Number);
        if (accepted === undefined || position === undefined) return Err(this.describeMalformed("vr_accept_term"));
        return Ok({ accepted: accepted === 1, acceptedTerm: acceptedTerm!, received: { term: receivedTerm!, position } });
    }

    public promote(term: number, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        return this.callForStatus(`CALL vr_promote(${term})`, timeoutMs);
    }

    public follow(term: number, primary: string, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        return this.callForStatus(`CALL vr_follow(${term}, ${quote(primary)})`, timeoutMs);
    }

    public *waitReceived(entry: LogPosition, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        const result = yield* withTimeout(this.clock, timeoutMs, this.waiters.wait(entry));
        return result ?? Err(createFailure(Diagnostics.callTimedOut, RunOutcome.Unknown, this.upstream, "vr_wait_received", timeoutMs));
    }

    public *lookUp(requestId: string, timeoutMs: number): Operation<Result<RecordedOutcome | undefined, Failure>> {
        const result = yield* this.link.call(`CALL vr_lookup(${quote(requestId)})`, timeoutMs);
        if (result.err) return result;
        return Ok(this.readOutcome(result.val));
    }

    public *cancel(requestId: string, term: number, timeoutMs: number): Operation<Result<RecordedOutcome, Failure>> {
        const result = yield* this.link.call(`/*vr term=${term}*/ CALL vr_cancel(${quote(requestId)})`, timeoutMs);
        if (result.err) return result;
        const outcome = this.readOutcome(result.val);
        return outcome === undefined ? Err(this.describeMalformed("vr_cancel")) : Ok(outcome);
    }

    public close(): void {
        this.link.close();
        this.waiters.close();
    }

    private *callForStatus(sql: string, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        const result = yield* this.link.call(sql, timeoutMs);
        if (result.err) return result;
        const status = readStatusRow(result.val);
        return status === undefined ? Err(this.describeMalformed(sql)) : Ok(status);
    }

    private readOutcome(result: StatementResult): RecordedOutcome | undefined {
        const row = result.rows[0];
        if (row === undefined) return undefined;
        const [cancelled, term, position, affectedRows, insertId] = row.map(Number);
        return { cancelled: cancelled === 1, at: { term: term!, position: position! }, affectedRows: affectedRows!, insertId: insertId! };
    }

    private describeMalformed(call: string): Failure {
        return createFailure(Diagnostics.answerMalformed, RunOutcome.Unknown, this.upstream, call);
    }
}
