import { RandomSource } from "@vanillarouter/base/randomSource";
import { hashText } from "@vanillarouter/session/cluster/hashText";
import { GatewayLoad } from "./gatewayLoad";

/** A gateway in this zone is preferred to one in another zone unless it has this many more active calls. */
const otherZonePenalty = 2;
/**
 * A tenant's gateway is preferred to the next one in the tenant's order unless it has this many more active calls. As much as zone
 * and random cost together, so that the VMs of all zones prefer the same gateway.
 */
const laterGatewayPenalty = 3;
/** Gateways from this place in a tenant's order on are equally good, so that a burst of one tenant spreads over all of them. */
const lastPenalizedPlace = 3;
/** Range of the random cost that keeps entry VMs with few calls from all choosing the same gateway. */
const randomCostRange = 1;

/**
 * Decides which gateway of a service an entry VM tries first.
 *
 * It answers many tenants in front of few connections, each of which belongs to one tenant: if each gateway served all tenants, each
 * would open connections for all of them. A tenant's gateways are ordered by rendezvous hashing, so all VMs agree without messages,
 * and the loss of one moves only its own tenants.
 */
export class GatewayOrder {
    private constructor(private readonly zone: string, private readonly random: RandomSource) {}

    public static create(zone: string, random: RandomSource): GatewayOrder {
        return new GatewayOrder(zone, random);
    }

    /** Returns the gateways of a service, the one to try first at the beginning. Without a tenant, zone and active calls decide. */
    public sort<T extends GatewayLoad>(service: string, gateways: readonly T[], tenant: string | undefined): readonly T[] {
        const places = tenant === undefined ? undefined : this.findPlaces(`${service} ${tenant}`, gateways);
        const costs = new Map(gateways.map(gateway => [gateway, this.computeCost(gateway) + (places?.get(gateway) ?? 0) * laterGatewayPenalty]));
        return [...gateways].sort((first, second) => costs.get(first)! - costs.get(second)!);
    }

    private findPlaces<T extends GatewayLoad>(hashKey: string, gateways: readonly T[]): ReadonlyMap<T, number> {
        const hashes = new Map(gateways.map(gateway => [gateway, hashText(`${hashKey} ${gateway.id}`)]));
        const ordered = [...gateways].sort((first, second) => hashes.get(first)! - hashes.get(second)! || (first.id < second.id ? -1 : 1));
        return new Map(ordered.map((gateway, place) => [gateway, Math.min(place, lastPenalizedPlace)]));
    }

    private computeCost({ activeCalls, zone }: GatewayLoad): number {
        return activeCalls + (zone === this.zone ? 0 : otherZonePenalty) + this.random.next() * randomCostRange;
    }
}
