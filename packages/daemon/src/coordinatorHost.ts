import { Clock } from "@vanillarouter/base/clock";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { Task } from "@vanillarouter/base/task";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { GroupDirectory } from "@vanillarouter/routing/group/groupDirectory";
import { UpstreamConnector } from "@vanillarouter/routing/group/upstreamConnector";
import { FailoverCoordinator } from "@vanillarouter/upstream/failoverCoordinator";
import { VmNode } from "@vanillarouter/vm/vmNode";
import * as bunyan from "bunyan";

interface CoordinatorHostOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly node: VmNode;
    readonly connector: UpstreamConnector;
    readonly groups: GroupDirectory;
    readonly logger: bunyan;
}

interface RunningCoordinator {
    /** Place of this VM among the coordinators of the group, counted from 0. */
    readonly place: number;
    readonly group: DatabaseGroup;
    readonly coordinator: FailoverCoordinator;
    readonly task: Task<void>;
}

/** Runs the failover coordinators of this VM. Starts and stops them as roles and the configuration change. */
export class CoordinatorHost {
    private readonly running = new Map<string, RunningCoordinator>();
    private readonly tasks: TaskGroup;

    private constructor(private readonly options: CoordinatorHostOptions) {
        this.tasks = TaskGroup.create(err => options.logger.error({ err: String(err) }, "coordinator.failed"));
    }

    public static create(options: CoordinatorHostOptions): CoordinatorHost {
        return new CoordinatorHost(options);
    }

    /** Running coordinators by group name. */
    public get coordinators(): ReadonlyMap<string, { readonly place: number; readonly coordinator: FailoverCoordinator; }> {
        return this.running;
    }

    /** Starts and stops coordinators to match the roles of this VM. Does not wait for them. */
    public update(): void {
        const { node } = this.options;
        const groups = node.configuration.current?.groups ?? new Map<string, DatabaseGroup>();
        for (const [name, { group, place, task }] of this.running) {
            const current = groups.get(name);
            const isUnchanged = current !== undefined && !task.isSettled && node.findCoordinatorPlace(current) === place && isSameGroup(current, group);
            if (isUnchanged) continue;
            task.cancel();
            this.running.delete(name);
        }
        for (const group of groups.values()) {
            const place = node.findCoordinatorPlace(group);
            if (place !== undefined && !this.running.has(group.name)) this.start(group, place);
        }
    }

    /** Stops all coordinators. */
    public *close(): Operation<void> {
        this.running.clear();
        yield* this.tasks.cancelAll();
    }

    private start(group: DatabaseGroup, place: number): void {
        const { clock, random, groups, logger, node, connector } = this.options;
        const controls = group.upstreams.map(upstream => connector.openControl(upstream));
        const isLeaving = (upstream: string): boolean => node.owners.isLeaving(upstream);
        const coordinator = FailoverCoordinator.create({ clock, random, group: group.name, controls, groups, place, isLeaving, logger });
        const run = function*(): Operation<void> {
            try {
                yield* coordinator.run();
            }
            finally {
                for (const control of controls) control.close();
            }
        };
        this.running.set(group.name, { place, group, coordinator, task: this.tasks.start(run()) });
    }
}

/** Compares by value: configuration shards are parsed again on each change, so an unchanged group becomes a new object. */
function isSameGroup(first: DatabaseGroup, second: DatabaseGroup): boolean {
    return first === second || JSON.stringify(first) === JSON.stringify(second);
}
