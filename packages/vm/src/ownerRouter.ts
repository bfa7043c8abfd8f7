import { Configuration } from "@vanillarouter/base/configuration";
import { Signal } from "@vanillarouter/base/signal";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { OwnerDirectory } from "@vanillarouter/routing/owner/ownerDirectory";
import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";
import { ConfigurationReplica } from "./configurationReplica";
import { MemberTable } from "./memberTable";
import { PeerCalls } from "./peerCalls";
import { RoleAssignment } from "./roleAssignment";

interface OwnerRouterOptions {
    readonly selfId: string;
    readonly replica: ConfigurationReplica;
    readonly roles: RoleAssignment;
    readonly table: MemberTable;
    readonly peers: PeerCalls;
    /** Returns the owner role of this VM; undefined before it is set up. */
    readonly readLocalOwner: () => OwnerLink | undefined;
}

/** Roles of this VM, computed for one state of the membership and the configuration. */
interface OwnRoles {
    readonly epoch: string;
    readonly configuration: Configuration | undefined;
    readonly owned: readonly UpstreamSettings[];
    readonly places: ReadonlyMap<string, number>;
}

/** Finds the owner of each upstream from the configuration and the member table. */
export class OwnerRouter implements OwnerDirectory {
    /** Notified when roles may have moved: after changes of the membership or of the configuration. */
    public readonly changed = Signal.create<void>();
    private readonly reportedLeaving = new Set<string>();
    private ownRoles: OwnRoles | undefined;
    private indexedConfiguration: Configuration | undefined;
    private upstreams: ReadonlyMap<string, UpstreamSettings> = new Map();

    private constructor(private readonly options: OwnerRouterOptions) {
        options.table.onChange(() => this.changed.notifyAll());
    }

    public static create(options: OwnerRouterOptions): OwnerRouter {
        return new OwnerRouter(options);
    }

    public findOwner(upstream: string): OwnerLink | undefined {
        const owner = this.findOwnerVm(upstream);
        if (owner === undefined) return undefined;
        return owner.id === this.options.selfId ? this.options.readLocalOwner() : this.options.peers.openOwner(owner);
    }

    /** Returns the VM that owns an upstream; undefined if no live VM can own it or the upstream is unknown. */
    public findOwnerVm(upstream: string): VmDescription | undefined {
        const settings = this.readUpstreams().get(upstream);
        return settings === undefined ? undefined : this.options.roles.orderOwners(upstream, settings.zone)[0]?.vm;
    }

    /** Returns the VMs that would own an upstream after the current owner. */
    public listSuccessors(upstream: string): readonly VmDescription[] {
        const settings = this.readUpstreams().get(upstream);
        return settings === undefined ? [] : this.options.roles.orderOwners(upstream, settings.zone).slice(1).map(member => member.vm);
    }

    /** Returns the upstreams that this VM owns. The result is cached until the roles of its zone or the configuration change. */
    public listOwned(): readonly UpstreamSettings[] {
        return this.readOwnRoles().owned;
    }

    /** Returns the place of this VM as coordinator, by group name, for the groups it coordinates. Cached like `listOwned`. */
    public listCoordinated(): ReadonlyMap<string, number> {
        return this.readOwnRoles().places;
    }

    public isLeaving(upstream: string): boolean {
        return this.reportedLeaving.has(upstream) || (this.readUpstreams().get(upstream)?.leaving ?? false);
    }

    /** Records whether an upstream reports itself as leaving. */
    public recordLeaving(upstream: string, leaving: boolean): void {
        if (leaving) this.reportedLeaving.add(upstream);
        else this.reportedLeaving.delete(upstream);
    }

    private readOwnRoles(): OwnRoles {
        const { replica, roles, selfId, table } = this.options;
        const { current } = replica;
        const zone = table.find(selfId)?.vm.zone ?? "";
        const epoch = roles.readEpoch(zone);
        if (this.ownRoles?.epoch === epoch && this.ownRoles.configuration === current) return this.ownRoles;
        // Upstreams of these zones are owned there, so this VM cannot be their owner.
        const otherEligibleZones = new Set(table.zoneNames.filter(name => name !== zone && roles.canHoldRoles(name)));
        const candidates = [...this.readUpstreams().values()].filter(upstream => !otherEligibleZones.has(upstream.zone));
        const owned = candidates.filter(upstream => roles.orderOwners(upstream.id, upstream.zone)[0]?.vm.id === selfId);
        const places = new Map<string, number>();
        for (const group of current?.groups.values() ?? []) {
            if (group.upstreams.every(upstream => otherEligibleZones.has(upstream.zone))) continue;
            const place = roles.findCoordinatorPlace(group);
            if (place !== undefined) places.set(group.name, place);
        }
        this.ownRoles = { epoch, configuration: current, owned, places };
        return this.ownRoles;
    }

    private readUpstreams(): ReadonlyMap<string, UpstreamSettings> {
        const { current } = this.options.replica;
        if (current !== this.indexedConfiguration) {
            this.indexedConfiguration = current;
            this.upstreams = new Map([...current?.groups.values() ?? []].flatMap(group => group.upstreams).map(upstream => [upstream.id, upstream]));
        }
        return this.upstreams;
    }
}
