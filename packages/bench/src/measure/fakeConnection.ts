import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { createFailure } from "@vanillarouter/base/createFailure";
import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Diagnostics } from "@vanillarouter/routing/diagnostics";
import { UpstreamAnswer } from "@vanillarouter/routing/group/upstreamAnswer";
import { UpstreamConnection } from "@vanillarouter/routing/group/upstreamConnection";
import { Err, Ok, Result } from "ts-results";
import { FakeNetwork } from "./fakeNetwork";
import { FakeUpstream } from "./fakeUpstream";
import { readServiceTime } from "./readServiceTime";

type Reply<T> = (result: Result<T, Failure>) => void;

function refuse(diagnostic: DiagnosticMessage, ...args: readonly (string | number)[]): Err<Failure> {
    return Err(createFailure(diagnostic, RunOutcome.DidNotRun, ...args));
}

/** A connection to a fake upstream. Statements run one after another. */
export class FakeConnection implements UpstreamConnection {
    private open = true;
    private pending: (() => void) | undefined;
    private readonly onCrash = (): void => this.breakOff();

    private constructor(private readonly network: FakeNetwork, private readonly zone: string, private readonly upstream: FakeUpstream) {
        upstream.crashListeners.add(this.onCrash);
    }

    public static create(network: FakeNetwork, zone: string, upstream: FakeUpstream): FakeConnection {
        return new FakeConnection(network, zone, upstream);
    }

    public get isOpen(): boolean {
        return this.open;
    }

    public read(sql: string, floor: LogPosition | undefined): Operation<Result<UpstreamAnswer, Failure>> {
        return this.call(reply => {
            const upstream = this.upstream;
            if (floor !== undefined && compareLogPositions(upstream.applied, floor) < 0) {
                reply(refuse(Diagnostics.floorNotApplied, upstream.settings.id, floor.position));
                return;
            }
            const at = upstream.applied;
            upstream.run(readServiceTime(sql), () => reply(this.answer(sql, at, false)));
        });
    }

    public write(sql: string, term: number, requestId: string): Operation<Result<UpstreamAnswer, Failure>> {
        return this.call(reply => {
            const refusal = this.checkWrite(term, requestId);
            if (refusal !== undefined) reply(refusal.ok ? this.answer(sql, refusal.val, true) : refusal);
            else this.upstream.run(readServiceTime(sql), () => reply(this.record(sql, term, requestId)));
        });
    }

    public begin(term: number): Operation<Result<void, Failure>> {
        return this.call(reply => {
            const refusal = this.checkWrite(term, "");
            reply(refusal?.err === true ? refusal : Ok.EMPTY);
        });
    }

    public executeInTransaction(sql: string): Operation<Result<UpstreamAnswer, Failure>> {
        return this.call(reply => this.upstream.run(readServiceTime(sql), () => reply(this.answer(sql, this.upstream.applied, false))));
    }

    public commit(term: number, requestId: string): Operation<Result<UpstreamAnswer, Failure>> {
        return this.write("COMMIT 0", term, requestId);
    }

    public rollback(): Operation<Result<void, Failure>> {
        return this.call(reply => reply(Ok.EMPTY));
    }

    public ping(): Operation<Result<void, Failure>> {
        return this.call(reply => reply(Ok.EMPTY));
    }

    public close(): void {
        this.breakOff();
    }

    private call<T>(body: (reply: Reply<T>) => void): Operation<Result<T, Failure>> {
        return perform<Result<T, Failure>>({
            start: resume => {
                if (!this.open) {
                    resume(refuse(Diagnostics.connectionLost, this.upstream.settings.id, "closed"));
                    return () => {};
                }
                let settled = false;
                const settle = (result: Result<T, Failure>): void => {
                    if (settled) return;
                    settled = true;
                    this.pending = undefined;
                    resume(result);
                };
                this.pending = () => settle(Err(createFailure(Diagnostics.connectionLost, RunOutcome.Unknown, this.upstream.settings.id, "reset")));
                this.deliver(body, settle);
                return () => {
                    settled = true;
                    this.close();
                };
            },
        });
    }

    /** Carries a call there and its result back; a silent upstream takes in and gives out nothing. */
    private deliver<T>(body: (reply: Reply<T>) => void, settle: Reply<T>): void {
        const { zone } = this.upstream.settings;
        this.network.send(this.zone, zone, () => {
            if (this.upstream.failure !== "none") return;
            body(result => {
                if (this.upstream.failure === "none") this.network.send(zone, this.zone, () => settle(result));
            });
        });
    }

    /** Returns a refusal, the entry that already recorded the id, or undefined if the write may run. */
    private checkWrite(term: number, requestId: string): Result<LogPosition, Failure> | undefined {
        const upstream = this.upstream;
        if (!upstream.isPrimary || upstream.acceptedTerm !== term) return refuse(Diagnostics.termReplaced, upstream.settings.id, term);
        const position = upstream.findRecorded(requestId);
        if (position === undefined) return undefined;
        const entry = upstream.log[position]!;
        return entry.cancelled ? refuse(Diagnostics.requestCancelled, requestId) : Ok({ term: entry.term, position });
    }

    private record(sql: string, term: number, requestId: string): Result<UpstreamAnswer, Failure> {
        const refusal = this.checkWrite(term, requestId);
        if (refusal !== undefined) return refusal.ok ? this.answer(sql, refusal.val, true) : refusal;
        return this.answer(sql, this.upstream.append(requestId, false), false);
    }

    private answer(sql: string, at: LogPosition, recordedBefore: boolean): Result<UpstreamAnswer, Failure> {
        const result = { columns: [], rows: [[sql, String(at.position), String(at.term)]], affectedRows: 1, insertId: 0, info: "" };
        return Ok({ result, at, recordedBefore });
    }

    private breakOff(): void {
        this.open = false;
        this.upstream.crashListeners.delete(this.onCrash);
        this.pending?.();
    }
}
