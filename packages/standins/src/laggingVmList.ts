import { Clock } from "@vanillarouter/base/clock";
import { ListedService } from "./listedService";

interface Snapshot {
    readonly at: number;
    readonly services: readonly ListedService[];
}

/** The platform's list of VMs, which callers see as it was some time ago. */
export class LaggingVmList {
    private snapshots: Snapshot[] = [];

    private constructor(private readonly clock: Clock) {}

    public static create(clock: Clock): LaggingVmList {
        return new LaggingVmList(clock);
    }

    /** Replaces the list. */
    public set(services: readonly ListedService[]): void {
        this.snapshots.push({ at: this.clock.now(), services });
    }

    /** Returns the list as it was `lagMs` milliseconds ago. */
    public read(lagMs: number): readonly ListedService[] {
        const limit = this.clock.now() - lagMs;
        const visible = this.snapshots.filter(snapshot => snapshot.at <= limit);
        return visible[visible.length - 1]?.services ?? [];
    }
}
