import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";

interface Checkpoint {
    readonly entry: LogPosition;
    readonly at: number;
}

const checkpointLimit = 128;
/** Spaces checkpoints so that they cover several seconds of replication delay. */
const checkpointIntervalMs = 20;

/**
 * Remembers when this VM came to know entries of a group's log, and tells from that how far behind a replica is. Used
 * to expect how long a replica needs for a floor, never to prove that it has one.
 */
export class GroupProgress {
    private readonly checkpoints: Checkpoint[] = [];

    private constructor() {}

    public static create(): GroupProgress {
        return new GroupProgress();
    }

    /** Takes note of an entry that the group has acknowledged. */
    public record(entry: LogPosition, now: number): void {
        const last = this.checkpoints.at(-1);
        if (last !== undefined && (now - last.at < checkpointIntervalMs || compareLogPositions(entry, last.entry) <= 0)) return;
        this.checkpoints.push({ entry, at: now });
        if (this.checkpoints.length > checkpointLimit) this.checkpoints.shift();
    }

    /** Returns for how long, in milliseconds, an entry that a replica has not applied has been known here; 0 if there is none. */
    public measureLag(applied: LogPosition, now: number): number {
        const missing = this.checkpoints.find(checkpoint => compareLogPositions(checkpoint.entry, applied) > 0);
        return missing === undefined ? 0 : now - missing.at;
    }
}
