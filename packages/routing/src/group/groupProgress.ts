import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";

interface Checkpoint {
    readonly position: LogPosition;
    readonly recordedAt: number;
}

const maxCheckpoints = 128;
/** Shortest interval between checkpoints. It lets them cover several seconds of replication delay. */
const checkpointIntervalMs = 20;

/**
 * Keeps the times at which this VM learned of entries of a group's log, and derives from them how far a replica lags
 * behind. Used to estimate when a replica will have applied a floor, never to prove that it has.
 */
export class GroupProgress {
    private readonly checkpoints: Checkpoint[] = [];

    private constructor() {}

    public static create(): GroupProgress {
        return new GroupProgress();
    }

    /** Records a log entry that the group has acknowledged. */
    public record(position: LogPosition, now: number): void {
        const last = this.checkpoints.at(-1);
        if (last !== undefined && (now - last.recordedAt < checkpointIntervalMs || compareLogPositions(position, last.position) <= 0)) return;
        this.checkpoints.push({ position, recordedAt: now });
        if (this.checkpoints.length > maxCheckpoints) this.checkpoints.shift();
    }

    /** Returns how long, in milliseconds, this VM has known the oldest recorded log entry that a replica has not applied; 0 if there is none. */
    public measureLag(applied: LogPosition, now: number): number {
        const firstMissing = this.checkpoints.find(checkpoint => compareLogPositions(checkpoint.position, applied) > 0);
        return firstMissing === undefined ? 0 : now - firstMissing.recordedAt;
    }
}
