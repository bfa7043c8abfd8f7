import { Clock } from "@vanillarouter/base/clock";
import { GroupView } from "@vanillarouter/base/groupView";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { sleep } from "@vanillarouter/base/sleep";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { hashName } from "@vanillarouter/platform/hashName";
import { GroupDirectory } from "@vanillarouter/routing/group/groupDirectory";
import { MeasuredShares } from "@vanillarouter/scheduling/measuredShares";
import { GroupExchange } from "./groupExchange";
import { mixHashes } from "./mixHashes";
import { PeerCalls } from "./peerCalls";
import { ShareExchange } from "./shareExchange";

interface GroupStateSyncOptions {
    readonly peers: PeerCalls;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly directory: GroupDirectory;
    readonly shares: ShareExchange;
    /** Returns the names of the configured database groups. */
    readonly listGroups: () => Iterable<string>;
    /** Returns the VMs to which views are forwarded: neighbours and, on a relay, relays of other zones. */
    readonly listReceivers: () => readonly VmDescription[];
    /** Returns the VMs that would own an upstream after the current owner. */
    readonly listSuccessors: (upstream: string) => readonly VmDescription[];
}

const compareIntervalMs = 10_000;
const shareIntervalMs = 5_000;
const maxTasks = 64;
const maxViewsPerResponse = 20_000;

/** Disseminates views of database groups to all VMs, and ordinary shares of an upstream to the VMs that would own it next. */
export class GroupStateSync {
    private readonly tasks: TaskGroup;
    private readonly views = new Map<string, GroupView>();
    private digest = 0;

    private constructor(private readonly options: GroupStateSyncOptions) {
        this.tasks = TaskGroup.create(() => {});
    }

    public static create(options: GroupStateSyncOptions): GroupStateSync {
        return new GroupStateSync(options);
    }

    /** Forwards and compares views and sends ordinary shares until cancelled. */
    public run(): Operation<never> {
        return race([this.forwardViews(), this.compareViews(), this.sendOrdinaryShares()]);
    }

    /** Applies the views and ordinary shares sent by another VM; returns the local views if that VM's digest differs. */
    public handleExchange(exchange: GroupExchange): GroupExchange {
        this.apply(exchange);
        const differs = exchange.digest !== undefined && exchange.digest !== this.digest;
        return { digest: this.digest, views: differs ? [...this.views.values()].slice(0, maxViewsPerResponse) : [], rates: [] };
    }

    /** Cancels transfers in progress. */
    public close(): Operation<void> {
        return this.tasks.cancelAll();
    }

    private apply(exchange: GroupExchange): void {
        for (const view of exchange.views) this.options.directory.learn(view);
        if (exchange.rates.length > 0) this.options.shares.learn(exchange.rates);
    }

    private *forwardViews(): Operation<never> {
        for (;;) {
            yield* this.options.directory.changed.wait();
            const views = this.collectNewViews();
            if (views.length === 0) continue;
            for (const vm of this.options.listReceivers()) this.send(vm, { views, rates: [] });
        }
    }

    /** Checks all groups, because several views may have changed before this task observed the signal. */
    private collectNewViews(): readonly GroupView[] {
        const newViews: GroupView[] = [];
        for (const group of this.options.listGroups()) {
            const view = this.options.directory.find(group);
            if (view !== undefined && this.recordIfNewer(view)) newViews.push(view);
        }
        return newViews;
    }

    private *compareViews(): Operation<never> {
        for (let turn = 0;; turn++) {
            const receivers = this.options.listReceivers();
            const vm = receivers[turn % Math.max(1, receivers.length)];
            if (vm !== undefined) this.send(vm, { digest: this.digest, views: [], rates: [] });
            // A VM without any view, such as one that has just started, compares ten times as often.
            yield* sleep(this.options.clock, (this.views.size === 0 ? 0.1 : 1) * compareIntervalMs * (0.8 + 0.4 * this.options.random.next()));
        }
    }

    private *sendOrdinaryShares(): Operation<never> {
        for (;;) {
            yield* sleep(this.options.clock, shareIntervalMs * (0.8 + 0.4 * this.options.random.next()));
            const byVm = new Map<string, { readonly vm: VmDescription; readonly shares: MeasuredShares[]; }>();
            for (const shares of this.options.shares.collect()) {
                for (const vm of this.options.listSuccessors(shares.upstream)) {
                    const batch = byVm.get(vm.id) ?? { vm, shares: [] };
                    batch.shares.push(shares);
                    byVm.set(vm.id, batch);
                }
            }
            for (const { vm, shares } of byVm.values()) this.send(vm, { views: [], rates: shares });
        }
    }

    private send(vm: VmDescription, exchange: GroupExchange): void {
        if (this.tasks.size < maxTasks) this.tasks.start(this.exchange(vm, exchange));
    }

    private *exchange(vm: VmDescription, exchange: GroupExchange): Operation<void> {
        const response = yield* this.options.peers.exchangeGroups(vm, exchange);
        if (response.ok) this.apply(response.val);
    }

    /** Records the view if it is newer than the known one; returns whether it was. */
    private recordIfNewer(view: GroupView): boolean {
        const known = this.views.get(view.group);
        const isNewer = known === undefined || view.term > known.term
            || (view.term === known.term && known.primary === undefined && view.primary !== undefined);
        if (!isNewer) return false;
        if (known !== undefined) this.digest ^= hashView(known);
        this.digest = (this.digest ^ hashView(view)) >>> 0;
        this.views.set(view.group, view);
        return true;
    }
}

function hashView(view: GroupView): number {
    return mixHashes(hashName(view.group), mixHashes(view.term, hashName(view.primary ?? "")));
}
