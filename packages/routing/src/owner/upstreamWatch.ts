import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { UpstreamControl } from "../group/upstreamControl";
import { UpstreamStatus } from "../group/upstreamStatus";

/**
 * Interval between status reads while no request waits for a change, in milliseconds. Responses of the upstream show what it
 * has applied; the status is read to detect that it is leaving. A leaving primary accepts new work for another 2 s, but must
 * get none later than 3 s after it reports that it is leaving, so the owner must detect the report in less than 1 s.
 */
const idleIntervalMs = 900;
/** Interval between status reads while a request waits for the upstream to apply a log entry, in milliseconds. */
const waitingIntervalMs = 5;
/** Timeout for reading the status, in milliseconds. */
const statusTimeoutMs = 1_000;

/** Tracks the state of one upstream: its applied position, its term, and whether it is leaving. */
export class UpstreamWatch {
    private status: UpstreamStatus | undefined;
    private appliedPosition: LogPosition = { term: 0, position: 0 };
    private waitingCount = 0;
    private readonly waitStarted = Signal.create<void>();
    private readonly changed = Signal.create<void>();

    private constructor(private readonly clock: Clock, private readonly control: UpstreamControl) {}

    public static create(clock: Clock, control: UpstreamControl): UpstreamWatch {
        return new UpstreamWatch(clock, control);
    }

    /** Position of the last log entry that the upstream is known to have applied. */
    public get applied(): LogPosition {
        return this.appliedPosition;
    }

    public get isLeaving(): boolean {
        return this.status?.leaving ?? false;
    }

    /** The most recently read status; undefined before the first read. */
    public get current(): UpstreamStatus | undefined {
        return this.status;
    }

    public *run(): Operation<void> {
        for (;;) {
            const status = yield* this.control.readStatus(statusTimeoutMs);
            if (status.ok) this.recordStatus(status.val);
            if (this.waitingCount > 0) yield* sleep(this.clock, waitingIntervalMs);
            else yield* race([sleep(this.clock, idleIntervalMs), this.waitStarted.wait()]);
        }
    }

    /** Records that the upstream has applied the log up to a position, as shown by one of its responses. */
    public recordApplied(position: LogPosition): void {
        if (compareLogPositions(position, this.appliedPosition) <= 0) return;
        this.appliedPosition = position;
        this.changed.notifyAll();
    }

    /** Waits until `condition` holds, testing it again whenever the upstream's state changes. Returns false on a timeout. */
    public *waitUntil(condition: () => boolean, timeoutMs: number): Operation<boolean> {
        if (condition()) return true;
        this.waitingCount++;
        this.waitStarted.notifyAll();
        try {
            return (yield* withTimeout(this.clock, timeoutMs, this.waitForCondition(condition))) ?? false;
        }
        finally {
            this.waitingCount--;
        }
    }

    private *waitForCondition(condition: () => boolean): Operation<boolean> {
        while (!condition()) yield* this.changed.wait();
        return true;
    }

    /**
     * Stores a status. A status that was read before the last response may report a lower applied position, which is ignored.
     * The position is lowered only with a change of term, when a former primary rejoins and truncates its log.
     */
    public recordStatus(status: UpstreamStatus): void {
        const isSameTerm = this.status?.acceptedTerm === status.acceptedTerm;
        this.status = status;
        if (!isSameTerm || compareLogPositions(status.applied, this.appliedPosition) > 0) this.appliedPosition = status.applied;
        this.changed.notifyAll();
    }
}
