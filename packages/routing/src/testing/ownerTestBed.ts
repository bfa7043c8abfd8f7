import { Configuration } from "@vanillarouter/base/configuration";
import { ConfigurationSource } from "@vanillarouter/base/configurationSource";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { ManualClock } from "@vanillarouter/base/manualClock";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { Signal } from "@vanillarouter/base/signal";
import { Task } from "@vanillarouter/base/task";
import { WorkClass } from "@vanillarouter/base/workClass";
import { OwnerDirectory } from "../owner/ownerDirectory";
import { OwnerLink } from "../owner/ownerLink";
import { UpstreamOwner } from "../owner/upstreamOwner";
import { FakeGroup } from "./fakeGroup";
import { FakeGroupOptions } from "./fakeGroupOptions";

/** A test bed with a fake group of three upstreams and an owner for each, on a manual clock. */
export class OwnerTestBed implements OwnerDirectory {
    public readonly clock = ManualClock.create();
    public readonly random = SeededRandom.create(1);
    public readonly group: FakeGroup;
    /** Upstreams without an owner, as after the loss of a VM. */
    public readonly unowned = new Set<string>();
    public readonly configuration: ConfigurationSource & { current: Configuration | undefined; };
    private readonly owners = new Map<string, UpstreamOwner>();

    private constructor(slots: number, classes: readonly WorkClass[], options: Partial<FakeGroupOptions>) {
        const createUpstreamSettings = (id: string): DatabaseGroup["upstreams"][number] => ({
            id,
            zone: "z1",
            host: "127.0.0.1",
            port: 1,
            slots,
            maxConnections: 30,
        });
        const group: DatabaseGroup = { name: "stock", upstreams: ["a", "b", "c"].map(createUpstreamSettings) };
        this.group = FakeGroup.create({ clock: this.clock, group, ...options });
        const current: Configuration = {
            version: 1,
            classes: new Map(classes.map(workClass => [workClass.name, workClass])),
            accounts: new Map(),
            groups: new Map([["stock", group]]),
        };
        this.configuration = { current, changed: Signal.create<Configuration>() };
        for (const upstream of group.upstreams) {
            const dependencies = {
                clock: this.clock,
                random: this.random,
                connector: this.group,
                groups: this.group,
                owners: this,
                configuration: this.configuration,
            };
            this.owners.set(upstream.id, UpstreamOwner.create({ ...dependencies, group, upstream }));
        }
    }

    /** Starts the owners and lets them open their connections. */
    public static create(slots = 2, classes: readonly WorkClass[] = [], options: Partial<FakeGroupOptions> = {}): OwnerTestBed {
        const bed = new OwnerTestBed(slots, classes, options);
        for (const owner of bed.owners.values()) Task.start(owner.run());
        bed.clock.advance(200);
        return bed;
    }

    /** Changes the number of slots of all upstreams in the configuration. */
    public setSlots(slots: number): void {
        const current = this.configuration.current!;
        const upstreams = this.group.group.upstreams.map(upstream => ({ ...upstream, slots }));
        this.configuration.current = { ...current, version: current.version + 1, groups: new Map([["stock", { name: "stock", upstreams }]]) };
        this.configuration.changed.notifyAll(this.configuration.current);
    }

    public get(upstream: string): UpstreamOwner {
        return this.owners.get(upstream)!;
    }

    public findOwner(upstream: string): OwnerLink | undefined {
        return this.unowned.has(upstream) ? undefined : this.owners.get(upstream);
    }

    public isLeaving(): boolean {
        return false;
    }
}
