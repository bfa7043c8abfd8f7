import { Clock } from "@vanillarouter/base/clock";
import { ListedVm } from "./listedVm";

interface Snapshot {
    readonly takenAt: number;
    readonly vms: readonly ListedVm[];
}

/** The platform's list of VMs with its earlier versions, so that a read can return the list as it was some time ago. */
export class LaggingVmList {
    private snapshots: Snapshot[] = [];

    private constructor(private readonly clock: Clock) {}

    public static create(clock: Clock): LaggingVmList {
        return new LaggingVmList(clock);
    }

    /** Replaces the list. */
    public set(vms: readonly ListedVm[]): void {
        this.snapshots.push({ takenAt: this.clock.now(), vms });
    }

    /** Returns the list as it was `lagMs` milliseconds ago. */
    public read(lagMs: number): readonly ListedVm[] {
        const cutoff = this.clock.now() - lagMs;
        const visible = this.snapshots.filter(snapshot => snapshot.takenAt <= cutoff);
        return visible[visible.length - 1]?.vms ?? [];
    }
}
