import { MemberUpdate } from "./memberUpdate";

interface QueuedUpdate {
    readonly update: MemberUpdate;
    sendCount: number;
}

/** Each update is sent this factor times the binary logarithm of the zone's size, which reaches every member with high probability. */
const sendFactor = 4;

/** Updates waiting to be piggybacked on heartbeats, least-sent first. A new update replaces a queued one of the same member. */
export class UpdateQueue {
    private readonly queue = new Map<string, QueuedUpdate>();

    private constructor() {}

    public static create(): UpdateQueue {
        return new UpdateQueue();
    }

    public get size(): number {
        return this.queue.size;
    }

    public push(update: MemberUpdate): void {
        this.queue.delete(update.vm.id);
        this.queue.set(update.vm.id, { update, sendCount: 0 });
    }

    /** Returns whether any queued update has been sent fewer than `times` times. */
    public hasUpdateSentFewerThan(times: number): boolean {
        for (const queued of this.queue.values()) {
            if (queued.sendCount < times) return true;
        }
        return false;
    }

    /** Returns up to `limit` updates for one message in a zone of `memberCount` members, and removes those sent often enough. */
    public take(limit: number, memberCount: number): readonly MemberUpdate[] {
        if (this.queue.size === 0) return [];
        const maxSends = sendFactor * Math.ceil(Math.log2(memberCount + 2));
        const chosen = [...this.queue.values()].sort((first, second) => first.sendCount - second.sendCount).slice(0, limit);
        for (const queued of chosen) {
            if (++queued.sendCount >= maxSends) this.queue.delete(queued.update.vm.id);
        }
        return chosen.map(queued => queued.update);
    }
}
