import { Clock } from "@vanillarouter/base/clock";
import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import { ManualClock } from "@vanillarouter/base/manualClock";
import { Task } from "@vanillarouter/base/task";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import * as bunyan from "bunyan";
import { ClusterState } from "../cluster/clusterState";
import { SuspensionDetector } from "../freshness/suspensionDetector";
import { AdmissionControl } from "../model/admissionControl";
import { MemberEntry } from "../model/memberEntry";
import { KeeperAuthority } from "../quota/keeperAuthority";
import { KeeperHealth } from "../quota/keeperHealth";
import { KeeperRoster } from "../quota/keeperRoster";
import { QuotaAdmission } from "../quota/quotaAdmission";
import { QuotaKeeper } from "../quota/quotaKeeper";
import { QuotaKeepers } from "../quota/quotaKeepers";

const log = bunyan.createLogger({ name: "test", streams: [] });
const refreshIntervalMs = 250;

/** One VM of `QuotaModel`: its clock can stop, and it can be frozen, cut off and killed. */
export class QuotaVm {
    public readonly cluster: ClusterState;
    public readonly authority: KeeperAuthority;
    public readonly keeper: QuotaKeeper;
    public readonly admission: AdmissionControl;
    public readonly counters = CounterMetrics.create();
    public readonly clock: Clock;
    public isCutOff = false;
    public isFrozen = false;
    public isAlive = true;
    /** Offset of the time of day, which a step changes. */
    public stepMs = 0;
    private stoppedMs = 0;
    private frozenAt = 0;
    private deferred: (() => void)[] = [];

    private constructor(public readonly own: MemberEntry, private readonly world: ManualClock, keepers: QuotaKeepers) {
        this.clock = { now: () => world.now() - this.stoppedMs, startTimer: (delayMs, listener) => world.startTimer(delayMs, () => this.run(listener)) };
        const { clock } = this;
        const tasks = TaskGroup.create(err => {
            throw err;
        });
        const suspension = SuspensionDetector.create(clock, () => world.now() + this.stepMs);
        this.cluster = ClusterState.create(own, clock);
        const roster = KeeperRoster.create(this.cluster, clock);
        this.authority = KeeperAuthority.create(clock, suspension, () => 0);
        this.keeper = QuotaKeeper.create(this.cluster, roster, this.authority, clock, this.counters);
        const health = KeeperHealth.create(clock);
        const { cluster, counters } = this;
        this.admission = QuotaAdmission.create({ clock, suspension, cluster, roster, keepers, health, tasks, counters, log });
    }

    public static create(own: MemberEntry, world: ManualClock, keepers: QuotaKeepers): QuotaVm {
        const vm = new QuotaVm(own, world, keepers);
        vm.repeatRefresh();
        return vm;
    }

    public get isReachable(): boolean {
        return this.isAlive && !this.isFrozen && !this.isCutOff;
    }

    /** Runs something on the VM, after it wakes if it is frozen; never if it is killed before. */
    public run(listener: () => void): void {
        if (!this.isAlive) return;
        if (this.isFrozen) this.deferred.push(listener);
        else listener();
    }

    public freeze(): void {
        this.isFrozen = true;
        this.frozenAt = this.world.now();
    }

    /** Wakes the VM. After a suspension its monotonic clock has not counted the time; after a stop of the process it has. */
    public wake(wasSuspended: boolean): void {
        if (!this.isFrozen) return;
        this.isFrozen = false;
        if (wasSuspended) this.stoppedMs += this.world.now() - this.frozenAt;
        const { deferred } = this;
        this.deferred = [];
        for (const listener of deferred) listener();
    }

    /** Starts an operation of a tenant and calls `onAdmitted` or `onRefused`. */
    public send(tenant: string, onAdmitted: () => void, onRefused: () => void): void {
        if (!this.isAlive || this.isFrozen) return;
        const task = Task.start(this.admission.admit(tenant));
        task.onSettled(() => void task.deliver(({ isAdmitted }) => this.run(isAdmitted ? onAdmitted : onRefused), () => undefined));
    }

    private repeatRefresh(): void {
        this.cluster.dropMissing();
        this.keeper.refresh();
        this.clock.startTimer(refreshIntervalMs, () => this.repeatRefresh());
    }
}
