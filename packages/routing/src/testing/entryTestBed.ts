import { Configuration } from "@vanillarouter/base/configuration";
import { ManualClock } from "@vanillarouter/base/manualClock";
import { Operation } from "@vanillarouter/base/operation";
import { Rank } from "@vanillarouter/base/rank";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { Signal } from "@vanillarouter/base/signal";
import { Task } from "@vanillarouter/base/task";
import { WorkClass } from "@vanillarouter/base/workClass";
import { EntryService } from "../entry/entryService";
import { StatementRequest } from "../entry/statementRequest";
import { KnownGroupViews } from "../group/knownGroupViews";
import { FakeOwnedGroup } from "./fakeOwnedGroup";

const classes: readonly WorkClass[] = [
    { name: "orders", rank: Rank.Urgent, targetMs: 400, readOnly: false },
    { name: "catalogue", rank: Rank.Background, targetMs: 400, maxAgeMs: 1000, readOnly: true },
];

/** Entry services of several VMs in front of one fake group. */
export class EntryTestBed {
    public readonly clock = ManualClock.create();
    public readonly group = FakeOwnedGroup.create(this.clock);
    public readonly vms: readonly EntryService[];
    /** Group views of each VM. */
    public readonly views: readonly KnownGroupViews[];
    private requestCount = 0;

    private constructor(vmCount: number, canReach: (upstream: string) => boolean) {
        const configuration: Configuration = {
            version: 1,
            classes: new Map(classes.map(workClass => [workClass.name, workClass])),
            accounts: new Map(),
            groups: new Map([[this.group.settings.name, this.group.settings]]),
        };
        this.views = Array.from({ length: vmCount }, () => KnownGroupViews.create([{ group: "orders", term: 1, primary: "u1" }]));
        this.vms = Array.from({ length: vmCount }, (_, index) =>
            EntryService.create({
                clock: this.clock,
                random: SeededRandom.create(index + 1),
                configuration: { current: configuration, changed: Signal.create() },
                groups: this.views[index]!,
                owners: this.group.createDirectory(canReach),
                tokenKey: Buffer.from("test key of the cluster"),
            }));
    }

    public static create(vmCount: number, canReach: (upstream: string) => boolean = () => true): EntryTestBed {
        return new EntryTestBed(vmCount, canReach);
    }

    /** Creates a request of a class, with a new id unless one is given. */
    public createRequest(className: string, sql: string, requestId = `r${this.requestCount++}`): StatementRequest {
        return { requestId, className, franchisee: "f1", group: "orders", sql, arrivedAt: this.clock.now(), repeatable: false };
    }

    /** Runs an operation to its end, advancing the clock by one millisecond at a time. */
    public run<T>(operation: Operation<T>): T {
        const task = Task.start(operation);
        while (!task.isSettled) this.clock.advance(1);
        let value: T | undefined;
        task.deliver(result => value = result, err => {
            throw err;
        });
        return value as T;
    }
}
