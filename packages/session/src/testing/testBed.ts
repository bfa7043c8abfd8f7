import { ManualClock } from "@vanillarouter/base/manualClock";
import { Operation } from "@vanillarouter/base/operation";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { Task } from "@vanillarouter/base/task";
import * as bunyan from "bunyan";
import { ClusterState } from "../cluster/clusterState";
import { ServiceGroups } from "../cluster/serviceGroups";
import { CallerRequest } from "../entry/callerRequest";
import { EntryContext } from "../entry/entryContext";
import { EntryMetrics } from "../entry/entryMetrics";
import { FloorTable } from "../entry/floorTable";
import { SessionValues } from "../entry/sessionValues";
import { StatementRunner } from "../entry/statementRunner";
import { TargetFinder } from "../entry/targetFinder";
import { WriteConfirmer } from "../entry/writeConfirmer";
import { GroupWatcher } from "../failover/groupWatcher";
import { Promotion } from "../failover/promotion";
import { SuspensionDetector } from "../freshness/suspensionDetector";
import { CallerStatement } from "../model/callerStatement";
import { Freshness } from "../model/freshness";
import { StatementKind } from "../model/statementKind";
import { TenantDirectory } from "../model/tenantDirectory";
import { DecisionLog } from "../observability/decisionLog";
import { SlotRequest } from "../upstream/slotRequest";
import { UpstreamPools } from "../upstream/upstreamPools";
import { FakeDialer } from "./fakeDialer";
import { FakeGroupServers } from "./fakeGroupServers";

const service = "orders";
const stepMs = 1;

/** A VM connected to a fake database group, with a clock that the test advances. */
export class TestBed {
    public readonly clock = ManualClock.create();
    /** Offset of the time of day from the monotonic clock. Changing it simulates a suspension. */
    public timeOfDayOffsetMs = 1_000_000;
    public readonly fakeGroup = FakeGroupServers.create();
    public readonly dialer = FakeDialer.create(this.fakeGroup, this.clock);
    public readonly cluster = ClusterState.create({ id: "vm-1", zone: "zone-1", relayAddress: undefined, capacity: 1, isLeaving: false }, this.clock);
    public readonly suspension = SuspensionDetector.create(this.clock, () => this.clock.now() + this.timeOfDayOffsetMs);
    public readonly log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });
    public readonly pools = UpstreamPools.create(this.cluster, this.clock, this.dialer, "zone-1");
    public readonly groups = ServiceGroups.create(this.clock, this.pools, this.suspension, this.log, () => undefined);
    public readonly group = this.groups.getOrCreate(service);
    public readonly context: EntryContext = {
        clock: this.clock,
        targets: TargetFinder.create(this.clock, "zone-1", SeededRandom.create(1)),
        confirmer: WriteConfirmer.create(this.clock),
        decisions: DecisionLog.create(this.log, this.clock),
        metrics: EntryMetrics.create(),
    };
    public readonly runner = StatementRunner.create(this.context);
    public readonly floors = FloorTable.create();
    public readonly session = SessionValues.create();
    /** Fencing token of the next claim; undefined makes taking a claim fail. */
    public nextFenceToken: number | undefined = 1;
    /** Whether the store still has the history in which claims were taken. */
    public isClaimCurrent = true;
    /** Called when a claim is taken, before it is used. */
    public onClaimTaken: () => void = () => {};

    private constructor() {
        for (const [index, server] of this.fakeGroup.servers.entries()) this.registerUpstream(server.id, `zone-${index + 1}`);
    }

    public static create(): TestBed {
        return new TestBed();
    }

    /** Adds an upstream to service discovery, or updates its entry. */
    public registerUpstream(id: string, zone: string, isLeaving = false): void {
        const claimsPrimary = this.fakeGroup.find(id).isPrimary;
        this.cluster.putUpstream({ id, service, host: "127.0.0.1", port: 1, zone, slots: 2, isLeaving, claimsPrimary, startedAtMs: 1 });
    }

    /** Applies a configuration with tenants, under which this VM may hold `connections` connections to each upstream. */
    public useTenants(names: readonly string[], connections: number): void {
        const entries = names.map(name => ({ tenant: { name, ratePerSecond: undefined, burst: undefined }, keys: [] }));
        this.cluster.applyConfiguration({
            version: (this.cluster.configuration?.version ?? 0) + 1,
            classes: new Map(),
            services: new Map([[service, { name: service, maxConnections: Math.ceil(connections / 0.9) }]]),
            transactionIdleMs: 0,
            tenants: TenantDirectory.create(entries),
        });
    }

    public createPromotion(): Promotion {
        const { clock, suspension, fakeGroup, log } = this;
        const take = (): number | undefined => this.takeClaim();
        const claims = {
            *take(): Operation<number | undefined> {
                return take();
            },
            isCurrent: (): boolean => this.isClaimCurrent,
        };
        const promoter = {
            *promote(_service: string, id: string): Operation<boolean> {
                fakeGroup.promote(id);
                return true;
            },
        };
        return Promotion.create(this.group, { clock, suspension, claims, promoter, metrics: this.context.metrics, log });
    }

    /** `onNoResponse` receives a reason that names an upstream which does not respond. */
    public createWatcher(onNoResponse: (reason: string) => void = () => undefined): GroupWatcher {
        return GroupWatcher.create(this.group, this.cluster, this.clock, this.suspension, this.createPromotion(), onNoResponse);
    }

    /** Returns a request of a class of rank 0 for the pool of one upstream, with a deadline in half a second. */
    public createSlotRequest(tenant?: string, session = this.session): SlotRequest {
        const { workClass, receivedAt } = this.createRequest(Freshness.OwnWrites, true);
        return { session, workClass, tenant, receivedAt, deadline: receivedAt + 500, waitDeadline: receivedAt + 500 };
    }

    public createRequest(freshness: Freshness, readOnly: boolean, maxAgeMs = 1_000): CallerRequest {
        const workClass = { database: "db", service, freshness, maxAgeMs, statementTimeoutMs: 1_000, targetMs: 200, rank: 0 };
        return { id: "r", workClass, session: this.session, floors: this.floors, receivedAt: this.clock.now(), readOnly, mayRead: readOnly };
    }

    public createStatement(id: string, kind: StatementKind, text: string): CallerStatement {
        return { id, kind, text, name: "", argument: "", readOnly: kind === StatementKind.Read };
    }

    /** Runs an operation to completion, advancing the clock by at most `maxMs`. */
    public run<T>(operation: Operation<T>, maxMs = 10_000): T {
        const task = Task.start(operation);
        for (let elapsed = 0; !task.isSettled && elapsed < maxMs; elapsed += stepMs) this.clock.advance(stepMs);
        let value: T | undefined;
        let failure: unknown = new Error("the operation did not complete in time");
        task.deliver(result => {
            value = result;
            failure = undefined;
        }, err => failure = err);
        if (failure !== undefined) throw failure;
        return value as T;
    }

    private takeClaim(): number | undefined {
        this.onClaimTaken();
        return this.nextFenceToken === undefined ? undefined : this.nextFenceToken++;
    }
}
