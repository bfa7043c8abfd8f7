import { ManualClock } from "@vanillarouter/base/manualClock";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { Task } from "@vanillarouter/base/task";
import { KnownGroupViews } from "@vanillarouter/routing/group/knownGroupViews";
import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";
import { MeasuredShares } from "@vanillarouter/scheduling/measuredShares";
import { VmNode } from "../vmNode";
import { MemoryNetwork } from "./memoryNetwork";
import { MemoryPeers } from "./memoryPeers";
import { MemoryPlatform } from "./memoryPlatform";
import { MemoryPlatformClient } from "./memoryPlatformClient";
import { PausableClock } from "./pausableClock";

/** Unix time in milliseconds at the start of the manual clock. */
const startTimeMs = Date.UTC(2026, 11, 4);

interface ClusterNode {
    readonly node: VmNode;
    readonly clock: PausableClock;
    readonly peers: MemoryPeers;
    readonly task: Task<unknown>;
    /** Ordinary shares that other VMs sent to this VM. */
    readonly learnedShares: MeasuredShares[];
    /** Ordinary shares that this VM reports as owner. */
    ownShares: readonly MeasuredShares[];
    readonly views: KnownGroupViews;
}

/** VMs of several zones with an in-memory network and platform, on a manual clock. Each host is named after its VM. */
export class MemoryCluster {
    public readonly nodes = new Map<string, ClusterNode>();
    public readonly clock = ManualClock.create();
    public readonly platform = MemoryPlatform.create(this.clock);
    public readonly network: MemoryNetwork;
    private startCount = 0;

    private constructor(private readonly seed: number) {
        this.network = MemoryNetwork.create(this.clock, SeededRandom.create(seed));
    }

    public static create(seed: number): MemoryCluster {
        return new MemoryCluster(seed);
    }

    /** Starts `size` VMs in each of `zones` zones; `z0-0` is the first VM of the first zone. */
    public startZones(zones: number, size: number): void {
        for (let zone = 0; zone < zones; zone++) {
            for (let index = 0; index < size; index++) this.start(`z${zone}-${index}`);
        }
    }

    /** Starts a VM with the first VM of each of the zones `z0` to `z3` as seeds. */
    public start(id: string): ClusterNode {
        const zone = id.split("-")[0]!;
        const clock = PausableClock.create(this.clock);
        const peers = MemoryPeers.create(clock, this.network, id, host => this.nodes.get(host)?.node.services);
        const platform = MemoryPlatformClient.create(this.platform, clock, id, () => this.network.canReach(id, "platform"));
        const learnedShares: MeasuredShares[] = [];
        const views = KnownGroupViews.create();
        const fixture = { clock, peers, learnedShares, views, ownShares: [] as readonly MeasuredShares[] };
        const node = VmNode.create({
            settings: {
                id,
                zone,
                host: id,
                heartbeatPort: 1,
                linkPort: 1,
                clusterKey: "cluster key for tests",
                tls: { certificate: "", privateKey: "", authority: "" },
                seeds: ["z0-0", "z1-0", "z2-0", "z3-0"].map(host => ({ host, heartbeatPort: 1 })),
                incarnation: ++this.startCount,
            },
            transport: this.network.open(id),
            peers,
            store: platform,
            list: platform,
            clock,
            random: SeededRandom.create(this.seed * 1_000 + this.startCount),
            readWallTime: () => startTimeMs + clock.now(),
            createRoles: () => ({
                owner: {} as OwnerLink,
                groups: views,
                shares: { collect: () => fixture.ownShares, learn: shares => learnedShares.push(...shares) },
            }),
        });
        const started = Object.assign(fixture, { node, task: Task.start(node.run()) });
        this.nodes.set(id, started);
        return started;
    }

    public kill(id: string): void {
        this.nodes.get(id)?.task.cancel();
        this.nodes.delete(id);
        this.network.remove(id);
    }

    /** Partitions the VMs whose ids start with one of the prefixes from the others and the platform; an empty list heals all partitions. */
    public partition(prefixes: readonly string[]): void {
        for (const id of this.nodes.keys()) this.network.setPartition(prefixes.some(prefix => id.startsWith(prefix)) ? 1 : 0, [id]);
    }

    public close(): void {
        for (const id of [...this.nodes.keys()]) this.kill(id);
    }
}
