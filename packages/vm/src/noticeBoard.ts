import { ZoneNotice } from "./zoneNotice";

interface QueuedNotice {
    readonly notice: ZoneNotice;
    sent: number;
}

const noticesPerMessage = 2;
const sendsPerNotice = 24;

/** The latest notice of each relay, and those that are still to be spread. */
export class NoticeBoard {
    private readonly notices = new Map<string, QueuedNotice>();
    private readonly queue = new Set<QueuedNotice>();

    private constructor() {}

    public static create(): NoticeBoard {
        return new NoticeBoard();
    }

    public find(relay: string): ZoneNotice | undefined {
        return this.notices.get(relay)?.notice;
    }

    /** Takes a notice over if it is newer than the known one of its relay; returns whether it was. */
    public learn(notice: ZoneNotice): boolean {
        const known = this.notices.get(notice.relay);
        if (known !== undefined && known.notice.sequence >= notice.sequence) return false;
        if (known !== undefined) this.queue.delete(known);
        const entry = { notice, sent: 0 };
        this.notices.set(notice.relay, entry);
        this.queue.add(entry);
        return true;
    }

    /** Takes the notices that go with the next message. */
    public take(): readonly ZoneNotice[] {
        if (this.queue.size === 0) return [];
        const chosen = [...this.queue].sort((first, second) => first.sent - second.sent).slice(0, noticesPerMessage);
        for (const entry of chosen) {
            if (++entry.sent >= sendsPerNotice) this.queue.delete(entry);
        }
        return chosen.map(entry => entry.notice);
    }

    /** Whether a notice has been sent fewer than `times` times. */
    public hasFresh(times: number): boolean {
        for (const entry of this.queue) {
            if (entry.sent < times) return true;
        }
        return false;
    }
}
