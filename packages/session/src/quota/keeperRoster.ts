import { Clock } from "@vanillarouter/base/clock";
import { ClusterView } from "../cluster/clusterView";
import { MemberEntry } from "../model/memberEntry";
import { KeeperChoice } from "./keeperChoice";
import { QuotaLimits } from "./quotaLimits";

/** Time for which replaced choices are remembered. A bucket that was started before then is full. */
const historyMs = 60_000;

interface ReplacedChoice {
    readonly choice: KeeperChoice;
    readonly replacedAt: number;
    /** Ids of the VMs that were settled then. */
    readonly settledIds: ReadonlySet<string>;
}

/**
 * The keepers as this VM's member list gives them now, and those that recent lists gave. It answers changes of the list: a part
 * that moves between VMs must not be granted by both while their lists differ.
 */
export class KeeperRoster {
    private memberGeneration = -1;
    private readonly listed = new Map<string, MemberEntry>();
    /** VMs that were dropped from the list lately, and the local time until which they keep their parts. */
    private readonly keptUntil = new Map<string, number>();
    private basis = "";
    private current = KeeperChoice.create([]);
    private replaced: ReplacedChoice[] = [];

    private constructor(private readonly cluster: ClusterView, private readonly clock: Clock) {}

    public static create(cluster: ClusterView, clock: Clock): KeeperRoster {
        return new KeeperRoster(cluster, clock);
    }

    public get self(): MemberEntry | undefined {
        return this.listed.get(this.cluster.vmId);
    }

    /** Ids of the other VMs that are settled: they may keep quotas. */
    public get settledIds(): ReadonlySet<string> {
        return new Set([...this.listed.values()].filter(({ isSettled }) => isSettled === true).map(({ id }) => id));
    }

    /** Returns the keeper of a part; undefined before the list has been read. */
    public findKeeper(tenant: string, part: number): MemberEntry | undefined {
        return this.current.findKeeper(tenant, part);
    }

    /** Whether a VM is in the list or was dropped from it lately. */
    public isListed(id: string): boolean {
        return this.listed.has(id);
    }

    public isKeeper(tenant: string, part: number): boolean {
        return this.findKeeper(tenant, part)?.id === this.cluster.vmId;
    }

    /** Returns the local time from which this VM may grant a part that it keeps: after the tokens of all former keepers have expired. */
    public computeUsableFrom(tenant: string, part: number): number {
        const times = this.replaced.map(({ choice, replacedAt, settledIds }) => {
            const former = choice.findKeeper(tenant, part);
            if (former === undefined || former.id === this.cluster.vmId) return Number.NEGATIVE_INFINITY;
            if (!this.isListed(former.id)) return replacedAt + QuotaLimits.tokenLifetimeMs;
            return replacedAt + (settledIds.has(former.id) ? QuotaLimits.settledTakeoverDelayMs : QuotaLimits.takeoverDelayMs);
        });
        return Math.max(Number.NEGATIVE_INFINITY, ...times);
    }

    /**
     * Takes over the present member list. Returns whether the keepers have changed. Must be called on every change of the list, and several
     * times a second. The list counts only once a configuration has been read, because the members are read together with it.
     */
    public refresh(): boolean {
        if (this.cluster.configuration === undefined) return false;
        const now = this.clock.now();
        if (this.memberGeneration === this.cluster.memberGeneration && ![...this.keptUntil.values()].some(until => until <= now)) return false;
        this.memberGeneration = this.cluster.memberGeneration;
        this.updateMembers(now);
        return this.updateChoice(now);
    }

    private updateMembers(now: number): void {
        const present = new Map(this.cluster.memberList.map(member => [member.id, member]));
        for (const [id, member] of present) {
            this.listed.set(id, member);
            this.keptUntil.delete(id);
        }
        for (const id of [...this.listed.keys()]) {
            if (present.has(id)) continue;
            const until = this.keptUntil.get(id) ?? now + QuotaLimits.keptMemberMs;
            this.keptUntil.set(id, until);
            if (until > now) continue;
            this.keptUntil.delete(id);
            this.listed.delete(id);
        }
    }

    private updateChoice(now: number): boolean {
        const eligible = [...this.listed.values()].filter(member => !member.isLeaving && member.relayAddress !== undefined);
        const basis = JSON.stringify(eligible.map(({ id, zone, relayAddress }) => [id, zone, relayAddress]).sort());
        if (basis === this.basis) return false;
        this.replaced = this.replaced.filter(({ replacedAt }) => now - replacedAt < historyMs);
        if (this.basis !== "") this.replaced.push({ choice: this.current, replacedAt: now, settledIds: this.settledIds });
        this.basis = basis;
        this.current = KeeperChoice.create(eligible);
        return true;
    }
}
