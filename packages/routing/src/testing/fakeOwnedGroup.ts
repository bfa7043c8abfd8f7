import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { createFailure } from "@vanillarouter/base/createFailure";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { ManualClock } from "@vanillarouter/base/manualClock";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { sleep } from "@vanillarouter/base/sleep";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Diagnostics as SchedulingDiagnostics } from "@vanillarouter/scheduling/diagnostics";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { StatementKind } from "../entry/statementKind";
import { OwnerDirectory } from "../owner/ownerDirectory";
import { OwnerLink } from "../owner/ownerLink";
import { OwnerRequest } from "../owner/ownerRequest";
import { OwnerResponse } from "../owner/ownerResponse";
import { FakeFault } from "./fakeFault";

interface OwnedGroupLogEntry {
    readonly at: LogPosition;
    readonly time: number;
    readonly requestId: string;
    readonly cancelled: boolean;
}

const roundTripMs = 2;
const lateRunDelayMs = 60;

/**
 * A database group of three upstreams behind fake owners, for tests of the entry role. It keeps only the acknowledged log;
 * a replica has applied all log entries older than its lag. The log records every write, so tests can count executions.
 */
export class FakeOwnedGroup {
    public readonly settings: DatabaseGroup;
    public readonly log: OwnedGroupLogEntry[] = [{ at: { term: 1, position: 0 }, time: -1_000_000, requestId: "", cancelled: false }];
    public readonly lagMs = new Map<string, number>();
    public readonly leaving = new Set<string>();
    public term = 1;
    public primary: string | undefined = "u1";
    /** Number of calls of `execute` by upstream. */
    public readonly attempts = new Map<string, number>();
    /** Returns the fault to inject into the next call. */
    public nextFault: () => FakeFault = () => FakeFault.None;
    /** Whether the primary's term can be confirmed by another upstream. */
    public canConfirm = true;
    /** Time at which `canConfirm` became false, in milliseconds. */
    public isolatedAt = 0;
    private readonly openTransactions = new Map<string, number>();

    private constructor(private readonly clock: ManualClock) {
        const upstreams = ["u1", "u2", "u3"].map(id => ({ id, zone: "z1", host: "127.0.0.1", port: 1, slots: 2, maxConnections: 30 }));
        this.settings = { name: "orders", upstreams };
    }

    public static create(clock: ManualClock): FakeOwnedGroup {
        return new FakeOwnedGroup(clock);
    }

    public get lastPosition(): LogPosition {
        return this.log.at(-1)!.at;
    }

    /** Makes an upstream the primary in the next term; undefined leaves the group without a primary. */
    public changePrimary(primary: string | undefined): void {
        this.term++;
        this.primary = primary;
    }

    public countExecutions(requestId: string): number {
        return this.log.filter(entry => entry.requestId === requestId && !entry.cancelled).length;
    }

    /** Position of the last log entry visible to reads on an upstream. */
    public getApplied(upstream: string): LogPosition {
        if (upstream === this.primary) return this.lastPosition;
        const visibleUntil = this.clock.now() - (this.lagMs.get(upstream) ?? 0);
        return this.log.findLast(entry => entry.time <= visibleUntil)!.at;
    }

    /** Creates the owner directory of a VM that can reach the upstreams for which `canReach` returns true. */
    public createDirectory(canReach: (upstream: string) => boolean = () => true): OwnerDirectory {
        const links = new Map(this.settings.upstreams.map(upstream => [upstream.id, this.createLink(upstream.id)]));
        return {
            findOwner: upstream => canReach(upstream) ? links.get(upstream) : undefined,
            isLeaving: upstream => this.leaving.has(upstream),
        };
    }

    private createLink(upstream: string): OwnerLink {
        return {
            execute: req => this.execute(req),
            begin: req => this.begin(req.requestId, req.upstream, req.term),
            executeInTransaction: req => this.executeInTransaction(req.transactionId, req.sql),
            endTransaction: req => this.endTransaction(req.transactionId, upstream, req.commit),
            resolveOutcome: req => this.resolveOutcome(req.requestId, upstream),
            confirmPosition: (group, requestedUpstream) => this.confirmPosition(group, requestedUpstream),
        };
    }

    private *execute(req: OwnerRequest): Operation<Result<OwnerResponse, Failure>> {
        this.attempts.set(req.upstream, (this.attempts.get(req.upstream) ?? 0) + 1);
        const fault = this.nextFault();
        yield* sleep(this.clock, roundTripMs / 2);
        if (fault === FakeFault.Refuse) return Err(createFailure(Diagnostics.linkFailed, RunOutcome.DidNotRun, "vm", "refused"));
        if (fault === FakeFault.Shed) return Err(createFailure(SchedulingDiagnostics.deadlineNotFeasible, RunOutcome.DidNotRun, req.timeoutMs));
        if (fault === FakeFault.LoseRequest) return this.createResponseLostFailure();
        if (fault === FakeFault.RunLate) {
            this.clock.startTimer(lateRunDelayMs, () => this.run(req));
            return this.createResponseLostFailure();
        }
        const result = this.run(req);
        yield* sleep(this.clock, roundTripMs / 2);
        if (fault === FakeFault.LoseResponse) return this.createResponseLostFailure();
        return fault === FakeFault.WrongResponse && result.ok ? Ok({ ...result.val, requestId: "other", result: this.createResult(["other"]) }) : result;
    }

    private run(req: OwnerRequest): Result<OwnerResponse, Failure> {
        return req.kind === StatementKind.Read ? this.read(req) : this.write(req);
    }

    private read(req: OwnerRequest): Result<OwnerResponse, Failure> {
        const applied = this.getApplied(req.upstream);
        if (req.floor !== undefined && compareLogPositions(applied, req.floor) < 0) {
            return Err(createFailure(Diagnostics.floorNotApplied, RunOutcome.DidNotRun, req.upstream, req.floor.position));
        }
        const ageMs = req.upstream === this.primary ? (this.canConfirm ? 0 : Infinity) : this.getProvenAge(req.upstream);
        if (req.maxAgeMs !== undefined && ageMs > req.maxAgeMs) {
            return Err(createFailure(Diagnostics.notFreshEnough, RunOutcome.DidNotRun, req.group, req.maxAgeMs));
        }
        return this.createResponse(req.requestId, req.upstream, applied, req.sql);
    }

    /** Time since the group could last confirm a position that the upstream has applied, in milliseconds. */
    private getProvenAge(upstream: string): number {
        const lag = this.lagMs.get(upstream) ?? 0;
        return this.canConfirm ? lag : lag + this.clock.now() - this.isolatedAt;
    }

    private write(req: OwnerRequest): Result<OwnerResponse, Failure> {
        const refusal = this.checkTerm(req.upstream, req.term);
        if (refusal !== undefined) return Err(refusal);
        const recorded = this.log.find(entry => entry.requestId === req.requestId);
        if (recorded?.cancelled === true) return Err(createFailure(Diagnostics.requestCancelled, RunOutcome.DidNotRun, req.requestId));
        return this.createResponse(req.requestId, req.upstream, recorded?.at ?? this.append(req.requestId, false), req.sql);
    }

    private checkTerm(upstream: string, term: number | undefined): Failure | undefined {
        if (upstream === this.primary && term === this.term) return undefined;
        const failure = createFailure(Diagnostics.termReplaced, RunOutcome.DidNotRun, upstream, term ?? 0);
        return { ...failure, details: { group: this.settings.name, term: this.term, primary: this.primary } };
    }

    private append(requestId: string, cancelled: boolean): LogPosition {
        const at = { term: this.term, position: this.lastPosition.position + 1 };
        this.log.push({ at, time: this.clock.now(), requestId, cancelled });
        return at;
    }

    private *begin(id: string, upstream: string, term: number): Operation<Result<void, Failure>> {
        yield* sleep(this.clock, roundTripMs);
        const refusal = this.checkTerm(upstream, term);
        if (refusal !== undefined) return Err(refusal);
        this.openTransactions.set(id, term);
        return Ok.EMPTY;
    }

    private *executeInTransaction(id: string, sql: string): Operation<Result<StatementResult, Failure>> {
        const fault = this.nextFault();
        yield* sleep(this.clock, roundTripMs);
        if (fault !== FakeFault.None) return this.createResponseLostFailure();
        if (!this.openTransactions.has(id)) return Err(createFailure(Diagnostics.transactionLost, RunOutcome.DidNotRun, id, "u"));
        return Ok(this.createResult([sql]));
    }

    private *endTransaction(id: string, upstream: string, commit: boolean): Operation<Result<OwnerResponse, Failure>> {
        const fault = commit ? this.nextFault() : FakeFault.None;
        yield* sleep(this.clock, roundTripMs);
        if (fault === FakeFault.LoseRequest) return this.createResponseLostFailure();
        const term = this.openTransactions.get(id);
        this.openTransactions.delete(id);
        if (term === undefined) return Err(createFailure(Diagnostics.transactionLost, RunOutcome.DidNotRun, id, upstream));
        if (!commit) return this.createResponse(id, upstream, this.lastPosition, "");
        const refusal = this.checkTerm(upstream, term);
        if (refusal !== undefined) return Err(refusal);
        const at = this.append(id, false);
        return fault === FakeFault.LoseResponse ? this.createResponseLostFailure() : this.createResponse(id, upstream, at, "");
    }

    private *resolveOutcome(requestId: string, upstream: string): Operation<Result<OwnerResponse, Failure>> {
        const fault = this.nextFault();
        yield* sleep(this.clock, roundTripMs);
        if (fault === FakeFault.Refuse) return Err(createFailure(Diagnostics.ownerChanged, RunOutcome.DidNotRun, upstream));
        if (fault === FakeFault.LoseRequest || upstream !== this.primary) return this.createResponseLostFailure();
        let recorded = this.log.find(entry => entry.requestId === requestId);
        if (recorded === undefined) {
            this.append(requestId, true);
            recorded = this.log.at(-1)!;
        }
        if (fault === FakeFault.LoseResponse) return this.createResponseLostFailure();
        if (recorded.cancelled) return Err(createFailure(Diagnostics.requestCancelled, RunOutcome.DidNotRun, requestId));
        return this.createResponse(requestId, upstream, recorded.at, "");
    }

    private *confirmPosition(group: string, upstream: string): Operation<Result<{ group: string; term: number; position: LogPosition; }, Failure>> {
        yield* sleep(this.clock, roundTripMs);
        const refusal = this.checkTerm(upstream, this.term);
        if (refusal !== undefined) return Err(refusal);
        if (!this.canConfirm) return Err(createFailure(Diagnostics.noPrimary, RunOutcome.DidNotRun, group));
        return Ok({ group, term: this.term, position: this.lastPosition });
    }

    private createResponse(requestId: string, upstream: string, at: LogPosition, sql: string): Result<OwnerResponse, Failure> {
        const load = { upstream, queueDelayMs: 0, applied: this.getApplied(upstream) };
        return Ok({ requestId, result: this.createResult([sql, upstream, String(at.position)]), at, load });
    }

    private createResult(row: readonly string[]): StatementResult {
        return { columns: [], rows: [row], affectedRows: 1, insertId: 0, info: "" };
    }

    private createResponseLostFailure(): Err<Failure> {
        return Err(createFailure(Diagnostics.linkFailed, RunOutcome.Unknown, "vm", "response lost"));
    }
}
