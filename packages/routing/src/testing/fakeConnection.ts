import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { UpstreamConnection } from "../group/upstreamConnection";
import { UpstreamResponse } from "../group/upstreamResponse";
import { FakeGroup } from "./fakeGroup";
import { FakeUpstream } from "./fakeUpstream";

type UpstreamResult = Result<UpstreamResponse, Failure>;

/**
 * A connection to a fake upstream. As in the real protocol, responses carry no request id: a reader gets the next response that
 * arrives, so a statement sent after an interrupted one gets the interrupted statement's response.
 */
export class FakeConnection implements UpstreamConnection {
    /** Whether a network intermediary has dropped the connection without closing it: no data arrives in either direction. */
    public isSilent = false;
    private open = true;
    private transaction: string[] | undefined;
    /** Responses that arrived while there was no reader, oldest first; undefined for a lost response. */
    private readonly unread: (UpstreamResult | undefined)[] = [];
    private reader: ((response: UpstreamResult | undefined) => void) | undefined;

    private constructor(private readonly group: FakeGroup, public readonly upstream: FakeUpstream) {
        upstream.openConnections++;
    }

    public static create(group: FakeGroup, upstream: FakeUpstream): FakeConnection {
        return new FakeConnection(group, upstream);
    }

    public get isOpen(): boolean {
        return this.open;
    }

    public read(sql: string, floor: LogPosition | undefined): Operation<UpstreamResult> {
        return this.send(() => this.serveRead(sql, floor));
    }

    public write(sql: string, term: number, requestId: string): Operation<UpstreamResult> {
        return this.send(() => this.serveWrite([sql], term, requestId, this.group.getStatementMs(sql)));
    }

    public *begin(term: number): Operation<Result<void, Failure>> {
        const response = yield* this.send(() => this.serveBegin(term));
        return response.ok ? Ok(undefined) : response;
    }

    public executeInTransaction(sql: string): Operation<UpstreamResult> {
        return this.send(() => this.serveInTransaction(sql));
    }

    public commit(term: number, requestId: string): Operation<UpstreamResult> {
        return this.send(() => this.serveCommit(term, requestId));
    }

    public *rollback(): Operation<Result<void, Failure>> {
        const response = yield* this.send(() => this.serveRollback());
        return response.ok ? Ok(undefined) : response;
    }

    public *ping(): Operation<Result<void, Failure>> {
        const response = yield* this.send(() => this.serveRead("ping", undefined, 0));
        return response.ok ? Ok(undefined) : response;
    }

    public close(): void {
        if (!this.open) return;
        this.open = false;
        this.transaction = undefined;
        this.upstream.openConnections--;
    }

    private *send(serve: () => Operation<UpstreamResult>): Operation<UpstreamResult> {
        if (!this.open) return this.createUnknownFailure(Diagnostics.connectionLost.code, "closed");
        this.group.sendRequest(this.upstream, () => this.isSilent, () => this.serveOrLoseResponse(serve), response => this.receive(response));
        const response = yield* this.readNext();
        if (response !== undefined) return response;
        this.close();
        return this.createUnknownFailure(Diagnostics.connectionLost.code, "response lost");
    }

    private readNext(): Operation<UpstreamResult | undefined> {
        return perform<UpstreamResult | undefined>({
            start: resume => {
                if (this.unread.length > 0) resume(this.unread.shift());
                else this.reader = resume;
                return () => {
                    this.reader = undefined;
                };
            },
        });
    }

    private receive(response: UpstreamResult | undefined): void {
        const reader = this.reader;
        this.reader = undefined;
        if (reader === undefined) this.unread.push(response);
        else reader(response);
    }

    private *serveOrLoseResponse(serve: () => Operation<UpstreamResult>): Operation<UpstreamResult | undefined> {
        const response = yield* serve();
        if (this.upstream.responsesToLose <= 0) return response;
        this.upstream.responsesToLose--;
        return undefined;
    }

    private *serveRead(sql: string, floor: LogPosition | undefined, durationMs = this.group.getStatementMs(sql)): Operation<UpstreamResult> {
        if (!this.upstream.hasApplied(floor)) return Err(createFailure(Diagnostics.floorNotApplied, RunOutcome.DidNotRun, this.upstream.settings.id, ""));
        yield* this.upstream.occupySlot(durationMs);
        return this.createResponse(sql, this.upstream.applied);
    }

    private *serveWrite(statements: readonly string[], term: number, requestId: string, durationMs: number): Operation<UpstreamResult> {
        if (!this.isPrimaryIn(term)) return this.rejectTerm(term);
        yield* this.upstream.occupySlot(durationMs);
        if (!this.isPrimaryIn(term)) return this.rejectTerm(term);
        const record = this.upstream.findRecord(requestId);
        if (record?.cancelled) return Err(createFailure(Diagnostics.requestCancelled, RunOutcome.DidNotRun, requestId));
        if (record !== undefined) return this.createResponse(statements.join(";"), record.at, true);
        const at = this.upstream.append({ requestId, sql: statements.join(";"), isCancellation: false });
        this.group.replicate(this.upstream);
        return this.createResponse(statements.join(";"), at);
    }

    private *serveBegin(term: number): Operation<UpstreamResult> {
        if (!this.isPrimaryIn(term)) return this.rejectTerm(term);
        this.transaction = [];
        return this.createResponse("begin", this.upstream.applied);
    }

    private *serveInTransaction(sql: string): Operation<UpstreamResult> {
        yield* this.upstream.occupySlot(this.group.getStatementMs(sql));
        this.transaction?.push(sql);
        return this.createResponse(sql, this.upstream.applied);
    }

    private *serveCommit(term: number, requestId: string): Operation<UpstreamResult> {
        const statements = this.transaction ?? [];
        this.transaction = undefined;
        return yield* this.serveWrite(statements, term, requestId, 1);
    }

    private *serveRollback(): Operation<UpstreamResult> {
        this.transaction = undefined;
        return this.createResponse("rollback", this.upstream.applied);
    }

    private isPrimaryIn(term: number): boolean {
        return this.upstream.isPrimary && this.upstream.acceptedTerm === term;
    }

    private rejectTerm(term: number): UpstreamResult {
        return Err(createFailure(Diagnostics.termReplaced, RunOutcome.DidNotRun, this.upstream.settings.id, term));
    }

    private createResponse(sql: string, at: LogPosition, recordedBefore = false): UpstreamResult {
        return Ok({ result: { columns: [], rows: [[sql]], affectedRows: 1, insertId: 0, info: "" }, at, recordedBefore });
    }

    private createUnknownFailure(code: number, text: string): UpstreamResult {
        return Err({ code, message: text, outcome: RunOutcome.Unknown });
    }
}
