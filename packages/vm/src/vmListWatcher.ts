import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { sleep } from "@vanillarouter/base/sleep";
import { ListedVm } from "@vanillarouter/platform/listedVm";
import { VmList } from "@vanillarouter/platform/vmList";
import { Membership } from "./membership";
import { MemberState } from "./memberState";
import { SeedAddress } from "./seedAddress";

interface VmListWatcherOptions {
    readonly list: VmList;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly membership: Membership;
    readonly isRelay: () => boolean;
}

const readTimeoutMs = 2_000;
const baseRetryMs = 500;
const refreshIntervalMs = 60_000;
const maxSeeds = 5;

/**
 * Reads the platform's list of VMs: at start and while no other member of the zone is known, to find seeds; and on a relay
 * every minute, to detect VMs that are leaving. The list can be out of date, so a VM is announced as leaving only after two
 * consecutive reads show it as leaving, and the list is never used to decide whether a VM is alive.
 */
export class VmListWatcher {
    private listedVms: readonly ListedVm[] = [];
    private previouslyLeaving: ReadonlySet<string> = new Set();

    private constructor(private readonly options: VmListWatcherOptions) {}

    public static create(options: VmListWatcherOptions): VmListWatcher {
        return new VmListWatcher(options);
    }

    /** Returns the addresses of a few listed VMs other than this one, preferring those not yet in the member table. */
    public readSeeds(): readonly SeedAddress[] {
        const { table, description } = this.options.membership;
        const others = this.listedVms.filter(vm => vm.id !== description.id && !vm.leaving);
        const unknown = others.filter(vm => table.find(vm.id) === undefined);
        const candidates = unknown.length > 0 ? unknown : others;
        const start = Math.floor(this.options.random.next() * candidates.length);
        return candidates.map((_, index) => candidates[(start + index) % candidates.length]!).slice(0, maxSeeds);
    }

    /** Reads the list periodically until cancelled. */
    public *run(): Operation<never> {
        const { clock, list, membership, random } = this.options;
        for (let isFirst = true;;) {
            const isAlone = membership.table.listLive(membership.description.zone).length < 2;
            if (isFirst || isAlone || this.options.isRelay()) {
                const vms = yield* list.readVms(readTimeoutMs, isFirst || isAlone ? undefined : membership.description.zone);
                if (vms.ok) {
                    this.applyList(vms.val);
                    isFirst = false;
                }
            }
            yield* sleep(clock, (isFirst || isAlone ? baseRetryMs * 4 : refreshIntervalMs) * (0.75 + 0.5 * random.next()));
        }
    }

    private applyList(vms: readonly ListedVm[]): void {
        this.listedVms = vms;
        const leaving = vms.filter(vm => vm.leaving);
        for (const vm of leaving) {
            const member = this.options.membership.table.find(vm.id);
            if (member === undefined || member.state === MemberState.Dead || member.vm.leaving || !this.previouslyLeaving.has(vm.id)) continue;
            const leavingVm = { ...member.vm, leaving: true, incarnation: member.vm.incarnation + 1 };
            this.options.membership.applyUpdate({ vm: leavingVm, state: MemberState.Alive });
        }
        this.previouslyLeaving = new Set(leaving.map(vm => vm.id));
    }
}
