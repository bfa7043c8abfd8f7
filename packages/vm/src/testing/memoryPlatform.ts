import { Clock } from "@vanillarouter/base/clock";
import { ListedVm } from "@vanillarouter/platform/listedVm";
import { PlatformStore } from "@vanillarouter/standins/platformStore";
import { StoredValue } from "@vanillarouter/standins/storedValue";

/** In-memory platform on any clock, which simulates the faults to expect from the real one. Accessed through `MemoryPlatformClient`. */
export class MemoryPlatform {
    public readonly store: PlatformStore;
    /** While true, every call fails after its delay, including pending watches. */
    public isDown = false;
    /** Delay of each call in milliseconds. */
    public delayMs = 3;
    public vms: readonly ListedVm[] = [];
    /** Number of calls by kind. */
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

    /** Sets a value directly, as a change by an operator would. */
    public write(key: string, value: string): void {
        this.store.commit([{ verb: "set", key, value: Buffer.from(value) }]);
    }

    /** Makes the clients on the given hosts read the values of this moment, without later changes. Other clients see every change. */
    public setStale(hosts: readonly string[]): void {
        this.staleHosts = new Set(hosts);
        this.staleValues = new Map(this.store.list("").map(stored => [stored.key, stored]));
    }

    public find(host: string, key: string): StoredValue | undefined {
        return this.staleHosts.has(host) ? this.staleValues.get(key) : this.store.find(key);
    }

    public countCall(kind: string): void {
        this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    }
}
