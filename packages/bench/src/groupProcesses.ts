import { all } from "@vanillarouter/base/all";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { Operation } from "@vanillarouter/base/operation";
import { UpstreamProcess } from "./upstreamProcess";

/** How to start a group of `vr-group` processes. */
interface GroupProcessOptions {
    readonly name: string;
    /** Zone of each upstream; one upstream a zone entry. */
    readonly zones: readonly string[];
    readonly slots: number;
    readonly maxConnections: number;
    readonly statementMs: number;
    /** Index of the upstream that is primary of term 1; absent: the group starts without a primary. */
    readonly primaryIndex?: number;
}

/** The `vr-group` processes of one database group. */
export class GroupProcesses {
    private constructor(private readonly name: string, public readonly upstreams: readonly UpstreamProcess[]) {}

    public static *start(options: GroupProcessOptions): Operation<GroupProcesses> {
        const ids = options.zones.map((_zone, index) => `${options.name}-${index + 1}`);
        const primary = options.primaryIndex === undefined ? undefined : ids[options.primaryIndex];
        const { slots, maxConnections, statementMs } = options;
        const upstreams = yield* all(
            ids.map((id, index) => UpstreamProcess.start({ id, zone: options.zones[index]!, slots, maxConnections, statementMs, primary })),
        );
        const ports = Object.fromEntries(upstreams.map(upstream => [upstream.id, upstream.peerPort]));
        yield* all(upstreams.map(upstream => upstream.setPeers(ports)));
        return new GroupProcesses(options.name, upstreams);
    }

    public get description(): DatabaseGroup {
        return { name: this.name, upstreams: this.upstreams.map(upstream => upstream.settings) };
    }

    public find(id: string): UpstreamProcess {
        const found = this.upstreams.find(upstream => upstream.id === id);
        if (found === undefined) throw new Error(`no upstream ${id} in group ${this.name}`);
        return found;
    }

    public *stop(): Operation<void> {
        for (const upstream of this.upstreams) yield* upstream.program.stop();
    }
}
