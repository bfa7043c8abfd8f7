import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { sleep } from "@vanillarouter/base/sleep";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { Member } from "./member";
import { MemberExchange } from "./memberExchange";
import { Membership } from "./membership";
import { MemberState } from "./memberState";
import { MemberUpdate } from "./memberUpdate";
import { PeerCalls } from "./peerCalls";
import { RoleAssignment } from "./roleAssignment";

interface ZoneRelayOptions {
    readonly zone: string;
    readonly membership: Membership;
    readonly roles: RoleAssignment;
    readonly peers: PeerCalls;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly readConfigurationMark: () => number;
    readonly onConfigurationMark: (sender: VmDescription, mark: number) => void;
}

const exchangeIntervalMs = 1_000;
const newsDelayMs = 50;
const maxNews = 256;
/** An answer carries the members of this many zones at most, so its size is bounded. */
const maxZonesPerAnswer = 2;

/**
 * Exchanges members with the relays of other zones. What changes in this zone goes to one relay of each other zone at once;
 * besides, digests are compared with one other zone after another, which repairs what was lost in a partition.
 */
export class ZoneRelay {
    private readonly tasks: TaskGroup;
    private readonly news = new Map<string, MemberUpdate>();
    private newsPending = false;
    private turn = 0;

    private constructor(private readonly options: ZoneRelayOptions) {
        this.tasks = TaskGroup.create(() => {});
        options.membership.table.onChange((member, before) => this.noteChange(member, before));
    }

    public static create(options: ZoneRelayOptions): ZoneRelay {
        return new ZoneRelay(options);
    }

    /** Compares with other zones until cancelled, whenever this VM is a relay. */
    public *run(): Operation<never> {
        for (;;) {
            yield* sleep(this.options.clock, exchangeIntervalMs * (0.8 + 0.4 * this.options.random.next()));
            if (!this.options.roles.isRelay()) continue;
            const zones = this.listOtherZones();
            const zone = zones[this.turn++ % Math.max(1, zones.length)];
            if (zone !== undefined) this.startExchange(zone, []);
        }
    }

    /** Answers another relay: takes its updates over and returns the members of zones that it knows otherwise. */
    public answer(exchange: MemberExchange): MemberExchange {
        this.learn(exchange.updates);
        const { table } = this.options.membership;
        const differing = table.zoneNames.filter(zone => table.readDigest(zone) !== (exchange.digests[zone] ?? 0));
        const ownFirst = differing.sort((first, second) => Number(second === this.options.zone) - Number(first === this.options.zone));
        const updates = ownFirst.slice(0, maxZonesPerAnswer).flatMap(zone => table.listZone(zone).map(toUpdate));
        return this.createExchange(updates);
    }

    /** Cancels exchanges that are under way. */
    public close(): Operation<void> {
        return this.tasks.cancelAll();
    }

    private noteChange(member: Member, before: Member | undefined): void {
        const isSame = before !== undefined && before.vm.incarnation === member.vm.incarnation && before.state === member.state;
        if (member.vm.zone !== this.options.zone || member.state === MemberState.Suspect || isSame) return;
        if (this.news.size < maxNews) this.news.set(member.vm.id, toUpdate(member));
        if (this.newsPending) return;
        this.newsPending = true;
        this.options.clock.startTimer(newsDelayMs, () => this.sendNews());
    }

    private sendNews(): void {
        this.newsPending = false;
        const updates = [...this.news.values()];
        this.news.clear();
        if (!this.options.roles.isRelay()) return;
        for (const zone of this.listOtherZones()) this.startExchange(zone, updates);
    }

    private startExchange(zone: string, updates: readonly MemberUpdate[]): void {
        const relays = this.options.roles.listRelays(zone);
        const relay = relays[Math.floor(this.options.random.next() * relays.length)];
        if (relay !== undefined) this.tasks.start(this.exchange(relay.vm, updates));
    }

    private *exchange(relay: VmDescription, updates: readonly MemberUpdate[]): Operation<void> {
        const answer = yield* this.options.peers.exchangeMembers(relay, this.createExchange(updates));
        if (answer.err) return;
        this.learn(answer.val.updates);
        this.options.onConfigurationMark(relay, answer.val.configurationMark);
    }

    private createExchange(updates: readonly MemberUpdate[]): MemberExchange {
        const { table } = this.options.membership;
        const digests = Object.fromEntries(table.zoneNames.map(zone => [zone, table.readDigest(zone)]));
        return { zone: this.options.zone, digests, updates, configurationMark: this.options.readConfigurationMark() };
    }

    private learn(updates: readonly MemberUpdate[]): void {
        for (const update of updates) this.options.membership.learn(update);
    }

    private listOtherZones(): readonly string[] {
        const { table } = this.options.membership;
        return table.zoneNames.filter(zone => zone !== this.options.zone && table.listLive(zone).length > 0);
    }
}

function toUpdate(member: Member): MemberUpdate {
    return { vm: member.vm, state: member.state };
}
