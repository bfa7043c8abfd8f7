import { ServiceGroup } from "./serviceGroup";

/** Returns the log fields for this VM's view of a group: the primary, the reachable upstreams and the age of the newest position. */
export function describeGroup(group: ServiceGroup): Readonly<Record<string, unknown>> {
    const pools = group.pools.list(group.service);
    const ageMs = group.positionSamples.newestAgeMs;
    return {
        service: group.service,
        primary: group.primaryTracker.primary?.id,
        term: group.primaryTracker.primary?.term,
        reachable: `${pools.filter(pool => pool.isReachable).length}/${pools.length}`,
        isolated: group.isIsolated,
        suspected: group.primaryTracker.isSuspected,
        positionAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    };
}
