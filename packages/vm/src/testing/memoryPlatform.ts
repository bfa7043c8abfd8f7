import { Clock } from "@vanillarouter/base/clock";
import { ListedVm } from "@vanillarouter/platform/listedVm";
import { PlatformStore } from "@vanillarouter/standins/platformStore";
import { StoredValue } from "@vanillarouter/standins/storedValue";

/** The platform in memory on any clock, with the faults that it is expected to have. Clients are `MemoryPlatformClient`. */
export class MemoryPlatform {
    public readonly store: PlatformStore;
    /** While true, every call fails after its delay, waiting watches included. */
    public isDown = false;
    /** Delay of each call in milliseconds. */
    public delayMs = 3;
    public vms: readonly ListedVm[] = [];
    /** Calls by kind. */
    public readonly calls = new Map<string, number>();
    public waitingWatches = 0;
    private staleValues: ReadonlyMap<string, StoredValue> = new Map();
    private staleHosts: ReadonlySet<string> = new Set();

    private constructor(clock: Clock) {
        this.store = PlatformStore.create(clock);
    }

    public static create(clock: Clock): MemoryPlatform {
        return new MemoryPlatform(clock);
    }

    /** Replaces a value directly, as an operator's change would. */
    public write(key: string, value: string): void {
        this.store.commit([{ verb: "set", key, value: Buffer.from(value) }]);
    }

    /** Freezes what the clients of some hosts read; the others go on to see every change. */
    public setStale(hosts: readonly string[]): void {
        this.staleHosts = new Set(hosts);
        this.staleValues = new Map(this.store.list("").map(entry => [entry.key, entry]));
    }

    public find(host: string, key: string): StoredValue | undefined {
        return this.staleHosts.has(host) ? this.staleValues.get(key) : this.store.find(key);
    }

    public countCall(kind: string): void {
        this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    }
}
