import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { sleep } from "@vanillarouter/base/sleep";
import { ListedVm } from "@vanillarouter/platform/listedVm";
import { VmList } from "@vanillarouter/platform/vmList";
import { Membership } from "./membership";
import { MemberState } from "./memberState";
import { SeedAddress } from "./seedAddress";

interface ListWatcherOptions {
    readonly list: VmList;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly membership: Membership;
    readonly isRelay: () => boolean;
}

const timeoutMs = 2_000;
const firstRetryMs = 500;
const joinedIntervalMs = 60_000;
const maxSeeds = 5;

/**
 * Reads the platform's list of VMs: once to find seeds, and as a relay every minute to hear of VMs that are leaving. The list
 * lags behind, so a VM that it shows twice in a row as leaving is told so, and whether a VM lives is never taken from it.
 */
export class ListWatcher {
    private listed: readonly ListedVm[] = [];
    private leavingBefore: ReadonlySet<string> = new Set();

    private constructor(private readonly options: ListWatcherOptions) {}

    public static create(options: ListWatcherOptions): ListWatcher {
        return new ListWatcher(options);
    }

    /** A few listed VMs other than this one, those that are not known yet first. */
    public readSeeds(): readonly SeedAddress[] {
        const { table, description } = this.options.membership;
        const others = this.listed.filter(vm => vm.id !== description.id && !vm.leaving);
        const unknown = others.filter(vm => table.find(vm.id) === undefined);
        const candidates = unknown.length > 0 ? unknown : others;
        const start = Math.floor(this.options.random.next() * candidates.length);
        return candidates.map((_, index) => candidates[(start + index) % candidates.length]!).slice(0, maxSeeds);
    }

    /** Reads the list until cancelled. */
    public *run(): Operation<never> {
        const { clock, list, membership, random } = this.options;
        for (let isFirst = true;;) {
            const isAlone = membership.table.listLive(membership.description.zone).length < 2;
            if (isFirst || isAlone || this.options.isRelay()) {
                const vms = yield* list.readVms(timeoutMs, isFirst || isAlone ? undefined : membership.description.zone);
                if (vms.ok) {
                    this.accept(vms.val);
                    isFirst = false;
                }
            }
            yield* sleep(clock, (isFirst || isAlone ? firstRetryMs * 4 : joinedIntervalMs) * (0.75 + 0.5 * random.next()));
        }
    }

    private accept(vms: readonly ListedVm[]): void {
        this.listed = vms;
        const leaving = vms.filter(vm => vm.leaving);
        for (const vm of leaving) {
            const member = this.options.membership.table.find(vm.id);
            if (member === undefined || member.state === MemberState.Dead || member.vm.leaving || !this.leavingBefore.has(vm.id)) continue;
            const told = { ...member.vm, leaving: true, incarnation: member.vm.incarnation + 1 };
            this.options.membership.learn({ vm: told, state: MemberState.Alive });
        }
        this.leavingBefore = new Set(leaving.map(vm => vm.id));
    }
}
