import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import { createCounterFamilies } from "@vanillarouter/base/createCounterFamilies";
import { createLatencyFamily } from "@vanillarouter/base/createLatencyFamily";
import { MetricFamily } from "@vanillarouter/base/metricFamily";
import { CallerListener } from "@vanillarouter/caller/callerListener";
import { ConfigurationItem } from "@vanillarouter/operator/configurationItem";
import { VmView } from "@vanillarouter/operator/vmView";
import { ConfigurationSection } from "@vanillarouter/platform/configurationSection";
import { getShardSection } from "@vanillarouter/platform/getShardSection";
import { PlatformClient } from "@vanillarouter/platform/platformClient";
import { shardNames } from "@vanillarouter/platform/shardNames";
import { EntryMetrics } from "@vanillarouter/routing/entry/entryMetrics";
import { GroupDirectory } from "@vanillarouter/routing/group/groupDirectory";
import { OwnerHost } from "@vanillarouter/routing/owner/ownerHost";
import { MemberState } from "@vanillarouter/vm/memberState";
import { RunningNode } from "@vanillarouter/vm/runningNode";
import { CoordinatorHost } from "./coordinatorHost";

interface DaemonViewOptions {
    readonly vm: string;
    readonly running: RunningNode;
    readonly listener: CallerListener;
    readonly groups: GroupDirectory;
    readonly owners: OwnerHost;
    readonly coordinators: CoordinatorHost;
    readonly entryMetrics: EntryMetrics;
    readonly counters: CounterMetrics;
    readonly platform: PlatformClient;
    readonly readState: () => string;
    readonly startDrain: () => void;
}

const counterHelp = {
    vr_caller_failures_total: "Failures answered to callers by code and outcome.",
    vr_callers_closed_total: "Caller connections closed for exceeding a limit by limit.",
    vr_caller_refused_total: "Caller connections ended with a failure by code.",
};

/** The state of a daemon for the administration API. */
export class DaemonView implements VmView {
    private constructor(private readonly options: DaemonViewOptions) {}

    public static create(options: DaemonViewOptions): DaemonView {
        return new DaemonView(options);
    }

    public get isServing(): boolean {
        return this.options.readState() === "serving";
    }

    public get configurationVersion(): number | undefined {
        return this.options.running.node.configuration.current?.version;
    }

    public listItems(section: ConfigurationSection): readonly ConfigurationItem[] {
        const { replica } = this.options.running.node;
        const shards = shardNames.filter(name => getShardSection(name) === section);
        const items = shards.flatMap(shard => [...replica.find(shard)?.items ?? []]);
        return items.map(([name, { changeId, value }]) => ({ name, changeId, value })).sort((first, second) => first.name < second.name ? -1 : 1);
    }

    public describeGroups(): unknown {
        const { running, groups, coordinators } = this.options;
        const configured = [...running.node.configuration.current?.groups.values() ?? []];
        return configured.map(group => {
            const view = groups.find(group.name);
            const coordinator = coordinators.coordinators.get(group.name);
            return {
                name: group.name,
                term: view?.term,
                primary: view?.primary,
                coordinatorPlace: coordinator?.place,
                condition: coordinator?.coordinator.lastAssessment?.condition,
                lastElection: coordinator?.coordinator.lastElection,
                upstreams: group.upstreams.map(({ id, zone }) => ({
                    id,
                    zone,
                    owner: running.node.owners.findOwnerVm(id)?.id,
                    leaving: running.node.owners.isLeaving(id),
                })),
            };
        });
    }

    public describeMembers(): unknown {
        const { table } = this.options.running.node.membership;
        return table.zoneNames.flatMap(zone => table.listZone(zone)).map(({ vm, state }) => ({ ...vm, state: MemberState[state]!.toLowerCase() }));
    }

    public describeStatus(): Readonly<Record<string, unknown>> {
        const { vm, running, listener, owners, coordinators, readState } = this.options;
        const { node } = running;
        return {
            vm,
            zone: node.membership.description.zone,
            state: readState(),
            rolesHeld: node.checkRoles() === undefined,
            configurationVersion: this.configurationVersion,
            callerConnections: listener.size,
            ownedUpstreams: owners.owned,
            coordinatedGroups: [...coordinators.coordinators].map(([group, { place }]) => ({ group, place })),
            isRelay: node.roles.isRelay(),
        };
    }

    public collectMetrics(): readonly MetricFamily[] {
        const { entryMetrics, counters, listener, owners, platform, running } = this.options;
        const createMetric = (name: string, type: "counter" | "gauge", help: string, value: number): MetricFamily => ({
            name,
            type,
            help,
            samples: [{ labels: "", value }],
        });
        return [
            createLatencyFamily("vr_statement_latency_seconds", "Time from arrival to the whole answer.", entryMetrics.latencies),
            this.collectStatements(),
            ...createCounterFamilies(counters, counterHelp),
            createMetric("vr_eligible_reads_total", "counter", "Reads that a replica may serve by their class.", entryMetrics.eligibleReads),
            createMetric("vr_replica_reads_total", "counter", "Eligible reads that a replica served.", entryMetrics.replicaReads),
            createMetric("vr_retries_total", "counter", "Retries of statements.", entryMetrics.retries),
            createMetric("vr_outcome_resolutions_total", "counter", "Requests whose outcome was asked of the group.", entryMetrics.resolutions),
            createMetric("vr_caller_connections", "gauge", "Connections of callers.", listener.size),
            createMetric("vr_caller_held_bytes", "gauge", "Bytes held for callers.", listener.heldBytes),
            createMetric("vr_owned_upstreams", "gauge", "Upstreams that this VM owns.", owners.owned.length),
            createMetric("vr_vm_links", "gauge", "Links that other VMs have open to this one.", running.countIncomingLinks()),
            createMetric("vr_configuration_version", "gauge", "Version of the configuration in force.", this.configurationVersion ?? 0),
            {
                name: "vr_platform_calls_total",
                type: "counter",
                help: "Calls to the platform's store by kind.",
                samples: [...platform.counter.calls].map(([kind, value]) => ({ labels: `kind="${kind}"`, value })),
            },
        ];
    }

    public startDrain(): void {
        this.options.startDrain();
    }

    private collectStatements(): MetricFamily {
        const samples = [...this.options.entryMetrics.classes].flatMap(([name, counts]) =>
            Object.entries(counts).map(([outcome, value]) => ({ labels: `class="${name}",outcome="${outcome}"`, value }))
        );
        return { name: "vr_statements_total", type: "counter", help: "Finished statements by class and outcome.", samples };
    }
}
