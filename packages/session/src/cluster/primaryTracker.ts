import { Signal } from "@vanillarouter/base/signal";
import * as bunyan from "bunyan";

/** Tracks which upstream this VM believes to be the primary of a group, in which term, and whether that is in doubt. */
export class PrimaryTracker {
    /** Wakes tasks that wait for a primary. */
    public readonly changed = Signal.create<void>();
    /** Wakes the group's watcher. */
    public readonly suspected = Signal.create<void>();
    private current: { readonly id: string; readonly term: number; } | undefined;
    private suspicion: string | undefined = "the VM has just started";

    private constructor(public readonly service: string, private readonly log: bunyan) {}

    public static create(service: string, log: bunyan): PrimaryTracker {
        return new PrimaryTracker(service, log);
    }

    public get primary(): { readonly id: string; readonly term: number; } | undefined {
        return this.current;
    }

    public get isSuspected(): boolean {
        return this.suspicion !== undefined;
    }

    /** Makes the group's watcher check the primary, which stays in use meanwhile. */
    public suspect(reason: string): void {
        if (this.suspicion === undefined) {
            this.log.info({ service: this.service, primary: this.current?.id, term: this.current?.term, reason }, "primary.suspected");
        }
        this.suspicion = reason;
        this.suspected.notifyAll();
    }

    /** Confirms or replaces the primary, unless `term` is lower than the known one. */
    public recordPrimary(id: string, term: number): void {
        if (this.current !== undefined && term < this.current.term) return;
        this.suspicion = undefined;
        if (this.current?.id === id && this.current.term === term) return;
        this.log.info({ service: this.service, primary: id, term, previous: this.current?.id }, "primary.changed");
        this.current = { id, term };
        this.changed.notifyAll();
    }
}
