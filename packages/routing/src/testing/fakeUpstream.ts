import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { UpstreamStatus } from "../group/upstreamStatus";
import { RecordedOutcome } from "../outcomes/recordedOutcome";
import { FakeLogEntry } from "./fakeLogEntry";

/** Position before the first log entry. */
const emptyPosition: LogPosition = { term: 0, position: 0 };

/**
 * The state of one upstream of a fake group, including the faults that tests inject. It executes as many statements
 * concurrently as it has slots; further statements wait in FIFO order.
 */
export class FakeUpstream {
    public readonly log: FakeLogEntry[] = [];
    public acceptedTerm = 1;
    public isPrimary = false;
    public primary: string | undefined;
    public isLeaving = false;
    /** Whether messages reach the upstream. */
    public isReachable = true;
    /** Whether the upstream receives log entries from its primary. */
    public isReplicating = true;
    /** Time between receiving a log entry and applying it, in milliseconds. */
    public applyDelayMs = 0;
    /** Factor on the duration of every statement. */
    public slowdownFactor = 1;
    /** Number of upcoming responses to lose, each together with its connection, after the statement took effect. */
    public responsesToLose = 0;
    public openConnections = 0;
    /** Number of statements received, for checks that none reaches the upstream. */
    public statementsReceived = 0;
    public readonly receivedChanged = Signal.create<void>();
    private readonly records = new Map<string, FakeLogEntry>();
    private appliedCount = 0;
    private executing = 0;
    private readonly waiting: (() => void)[] = [];

    private constructor(public readonly settings: UpstreamSettings, private readonly clock: Clock) {}

    public static create(settings: UpstreamSettings, clock: Clock): FakeUpstream {
        return new FakeUpstream(settings, clock);
    }

    /** Number of statements that wait at the upstream because all its slots are occupied. */
    public get waitingCount(): number {
        return this.waiting.length;
    }

    public get received(): LogPosition {
        return this.log.at(-1)?.at ?? emptyPosition;
    }

    public get applied(): LogPosition {
        return this.log[Math.min(this.appliedCount, this.log.length) - 1]?.at ?? emptyPosition;
    }

    public get status(): UpstreamStatus {
        return {
            upstream: this.settings.id,
            isPrimary: this.isPrimary,
            acceptedTerm: this.acceptedTerm,
            received: this.received,
            applied: this.applied,
            primary: this.primary,
            primarySilenceMs: 0,
            leaving: this.isLeaving,
        };
    }

    /** Waits for one of the upstream's slots and occupies it for a time. */
    public *occupySlot(durationMs: number): Operation<void> {
        this.statementsReceived++;
        while (this.executing >= this.settings.slots) yield* this.waitForSlot();
        this.executing++;
        yield* sleep(this.clock, durationMs * this.slowdownFactor);
        this.executing--;
        this.waiting.shift()?.();
    }

    public append(entry: Omit<FakeLogEntry, "at">): LogPosition {
        const at = { term: this.acceptedTerm, position: this.received.position + 1 };
        this.store({ ...entry, at });
        this.appliedCount = this.log.length;
        return at;
    }

    /** Copies the log of the primary of the accepted term. */
    public replicateFrom(primary: FakeUpstream): void {
        if (!this.isReplicating || !this.isReachable || !primary.isReachable) return;
        if (primary.acceptedTerm !== this.acceptedTerm || this.isPrimary) return;
        this.replaceLogTail(primary.log);
        const count = this.log.length;
        this.receivedChanged.notifyAll();
        this.clock.startTimer(this.applyDelayMs, () => this.appliedCount = Math.max(this.appliedCount, count));
    }

    public findRecord(requestId: string): RecordedOutcome | undefined {
        const entry = this.records.get(requestId);
        return entry === undefined ? undefined : { cancelled: entry.isCancellation, at: entry.at, affectedRows: 1, insertId: 0 };
    }

    public hasApplied(floor: LogPosition | undefined): boolean {
        return floor === undefined || compareLogPositions(this.applied, floor) >= 0;
    }

    /** Truncates this log after its common prefix with the other log, then appends the rest of the other. */
    private replaceLogTail(log: readonly FakeLogEntry[]): void {
        let common = Math.min(this.log.length, log.length);
        while (common > 0 && this.log[common - 1] !== log[common - 1]) common--;
        for (const entry of this.log.splice(common)) if (entry.requestId !== undefined) this.records.delete(entry.requestId);
        this.appliedCount = Math.min(this.appliedCount, common);
        for (let index = common; index < log.length; index++) this.store(log[index]!);
    }

    private store(entry: FakeLogEntry): void {
        this.log.push(entry);
        if (entry.requestId !== undefined) this.records.set(entry.requestId, entry);
    }

    private *waitForSlot(): Operation<void> {
        const signal = Signal.create<void>();
        this.waiting.push(() => signal.notifyAll());
        yield* signal.wait();
    }
}
