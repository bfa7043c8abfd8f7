import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { sleep } from "@vanillarouter/base/sleep";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { orderMembers } from "@vanillarouter/session/cluster/orderMembers";
import { StoreWatchers } from "@vanillarouter/session/cluster/storeWatchers";
import { MemberEntry } from "@vanillarouter/session/model/memberEntry";
import { StoreChange } from "@vanillarouter/session/model/storeChange";
import { StoreChanges } from "@vanillarouter/session/model/storeChanges";
import { StorePosition } from "@vanillarouter/session/model/storePosition";
import { chooseWatchers } from "./chooseWatchers";
import { RelayGateways } from "./relayGateways";
import { RelayResponse } from "./relayResponse";

const longPollMs = 10_000;
const responseMarginMs = 500;
/** After a request that returned no changes, the watcher is skipped for this time. */
const avoidanceMs = 2_000;
const maxAttempts = 2;
/** Number of VMs that are asked for a configuration at once, and the time in which one of them has to send it. */
const fetchWidth = 2;
const fetchTimeoutMs = 800;

type ChangesResponse = Extract<RelayResponse, { readonly kind: "changes"; }>;

/** Gets the changes of the store from the VMs that watch it. */
export class ChangeFollower {
    private readonly avoidedUntil = new Map<string, number>();
    /** Number of VMs that have been asked for a configuration. */
    private fetchCount = 0;

    private constructor(
        private readonly watchers: StoreWatchers,
        private readonly gateways: RelayGateways,
        private readonly clock: Clock,
        private readonly self: Pick<MemberEntry, "id" | "zone">,
        private readonly readItem: (key: string, era: number) => Operation<StoreChange | undefined>,
    ) {}

    /** `readItem` reads one item of an era from the store; it returns undefined if the store does not respond or has another era. */
    public static create(
        watchers: StoreWatchers,
        gateways: RelayGateways,
        clock: Clock,
        self: Pick<MemberEntry, "id" | "zone">,
        readItem: (key: string, era: number) => Operation<StoreChange | undefined>,
    ): ChangeFollower {
        return new ChangeFollower(watchers, gateways, clock, self, readItem);
    }

    /** Whether other VMs may get their changes from this one. */
    public get hasFollowers(): boolean {
        return this.watchers.hasFollowers;
    }

    /** Returns the next changes after a position; undefined if this VM has to read them from the store itself. */
    public *follow(after: StorePosition): Operation<StoreChanges | undefined> {
        if (this.watchers.includesSelf) return undefined;
        for (let attempt = 0; attempt < maxAttempts; attempt++) {
            // Two at once, so that changes are not late because one is slow, or cut off from the store without knowing it.
            const asked = chooseWatchers(this.self, this.listUsable());
            if (asked.length === 0) return undefined;
            const response = yield* race(asked.map(watcher => this.poll(watcher, after)));
            if (response !== undefined) return yield* this.readLargeItems(response, after.era);
        }
        return undefined;
    }

    /**
     * Returns a configuration that is newer than the one at a position, from a VM that the store serves; undefined if none of those asked
     * sends one. It answers a store that rejects some of the VMs: each call asks the next ones, so that others which are rejected too, or
     * cut off, are passed over.
     */
    public *fetchConfiguration(after: StorePosition): Operation<StoreChange | undefined> {
        const candidates = orderMembers(this.self.id, this.watchers.list().filter(({ id, relayAddress }) => id !== this.self.id && relayAddress !== undefined));
        if (candidates.length === 0) return undefined;
        const asked = Array.from({ length: Math.min(fetchWidth, candidates.length) }, () => candidates[this.fetchCount++ % candidates.length]!);
        return yield* withTimeout(this.clock, fetchTimeoutMs, race(asked.map(watcher => this.fetchFrom(watcher, after))));
    }

    /** Asks one VM. Without a newer configuration it does not return within the time, because another VM that was asked may have one. */
    private *fetchFrom(watcher: MemberEntry, after: StorePosition): Operation<StoreChange | undefined> {
        const link = yield* this.gateways.getOrCreate(watcher).obtainLink();
        const { era, revision } = after;
        const response = yield* link?.poll(fetchTimeoutMs, call => ({ kind: "configuration", call, era, after: revision })) ?? noResponse();
        const change = response?.kind === "changes" && response.era === era ? response.changes[0] : undefined;
        if (change !== undefined && change.revision > revision) return { key: change.key, text: change.text, revision: change.revision };
        yield* sleep(this.clock, fetchTimeoutMs);
        return undefined;
    }

    /** Waits for the changes that a watcher has. Returns undefined if it cannot say, and then skips it for a while. */
    private *poll(watcher: MemberEntry, after: StorePosition): Operation<ChangesResponse | undefined> {
        const link = yield* this.gateways.getOrCreate(watcher).obtainLink();
        const response =
            yield* link?.poll(longPollMs + responseMarginMs, call => ({ kind: "follow", call, era: after.era, after: after.revision, waitMs: longPollMs }))
                ?? noResponse();
        if (response?.kind === "changes" && response.era === after.era) return response;
        this.avoidedUntil.set(watcher.id, this.clock.now() + avoidanceMs);
        return undefined;
    }

    /** Reads the items that were too large to send. Returns undefined if the store does not respond. */
    private *readLargeItems(response: ChangesResponse, era: number): Operation<StoreChanges | undefined> {
        const changes: StoreChange[] = [];
        for (const { key, text, isLarge, revision } of response.changes) {
            const change = isLarge === true ? yield* this.readItem(key, era) : { key, text, revision };
            if (change === undefined) return undefined;
            changes.push(change);
        }
        return { changes, position: { era, revision: response.revision } };
    }

    /** Returns the watchers that can be asked. */
    private listUsable(): readonly MemberEntry[] {
        const now = this.clock.now();
        return this.watchers.list().filter(member => member.relayAddress !== undefined && (this.avoidedUntil.get(member.id) ?? 0) <= now);
    }
}

function* noResponse(): Operation<undefined> {}
