import { ZoneNotice } from "./zoneNotice";

interface QueuedNotice {
    readonly notice: ZoneNotice;
    sendCount: number;
}

const noticesPerMessage = 2;
const maxSends = 24;

/** Keeps the latest notice of each relay and the queue of notices still to be disseminated. */
export class ZoneNoticeQueue {
    private readonly latestByRelay = new Map<string, QueuedNotice>();
    private readonly queue = new Set<QueuedNotice>();

    private constructor() {}

    public static create(): ZoneNoticeQueue {
        return new ZoneNoticeQueue();
    }

    public find(relay: string): ZoneNotice | undefined {
        return this.latestByRelay.get(relay)?.notice;
    }

    /** Stores and queues a notice if it is newer than the known one of its relay; returns whether it was. */
    public add(notice: ZoneNotice): boolean {
        const known = this.latestByRelay.get(notice.relay);
        if (known !== undefined && known.notice.sequence >= notice.sequence) return false;
        if (known !== undefined) this.queue.delete(known);
        const queued = { notice, sendCount: 0 };
        this.latestByRelay.set(notice.relay, queued);
        this.queue.add(queued);
        return true;
    }

    /** Returns the notices for the next message, and removes those sent often enough from the queue. */
    public take(): readonly ZoneNotice[] {
        if (this.queue.size === 0) return [];
        const chosen = [...this.queue].sort((first, second) => first.sendCount - second.sendCount).slice(0, noticesPerMessage);
        for (const queued of chosen) {
            if (++queued.sendCount >= maxSends) this.queue.delete(queued);
        }
        return chosen.map(queued => queued.notice);
    }

    /** Returns whether any queued notice has been sent fewer than `times` times. */
    public hasNoticeSentFewerThan(times: number): boolean {
        for (const queued of this.queue) {
            if (queued.sendCount < times) return true;
        }
        return false;
    }
}
