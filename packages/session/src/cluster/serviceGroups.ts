import { Clock } from "@vanillarouter/base/clock";
import * as bunyan from "bunyan";
import { SuspensionDetector } from "../freshness/suspensionDetector";
import { UpstreamPools } from "../upstream/upstreamPools";
import { ServiceGroup } from "./serviceGroup";

/** Minimum interval between checks of all groups, however many upstreams stop responding. */
const suspectAllIntervalMs = 2_000;

/** The database groups that this VM has used so far. */
export class ServiceGroups {
    private readonly groups = new Map<string, ServiceGroup>();
    private suspectedAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly clock: Clock,
        private readonly pools: UpstreamPools,
        private readonly suspension: SuspensionDetector,
        private readonly log: bunyan,
        private readonly onCreated: (group: ServiceGroup) => void,
    ) {}

    /** `onCreated` is called once for each new group, before the group is returned. */
    public static create(
        clock: Clock,
        pools: UpstreamPools,
        suspension: SuspensionDetector,
        log: bunyan,
        onCreated: (group: ServiceGroup) => void,
    ): ServiceGroups {
        return new ServiceGroups(clock, pools, suspension, log, onCreated);
    }

    /** Makes the watchers check every group, because an upstream that stops responding may mean that this VM is isolated. */
    public suspectAll(reason: string): void {
        const now = this.clock.now();
        if (now - this.suspectedAt < suspectAllIntervalMs) return;
        this.suspectedAt = now;
        for (const group of this.groups.values()) group.primaryTracker.suspect(reason);
    }

    public getOrCreate(service: string): ServiceGroup {
        const known = this.groups.get(service);
        if (known !== undefined) return known;
        const group = ServiceGroup.create(service, this.clock, this.pools, this.suspension, this.log);
        this.groups.set(service, group);
        this.onCreated(group);
        return group;
    }
}
