import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { sleep } from "@vanillarouter/base/sleep";
import { CommitOutcome } from "@vanillarouter/platform/commitOutcome";
import { Diagnostics } from "@vanillarouter/platform/diagnostics";
import { KeyValueStore } from "@vanillarouter/platform/keyValueStore";
import { ListedVm } from "@vanillarouter/platform/listedVm";
import { StoreEntry } from "@vanillarouter/platform/storeEntry";
import { StoreWrite } from "@vanillarouter/platform/storeWrite";
import { VmList } from "@vanillarouter/platform/vmList";
import { WatchResponse } from "@vanillarouter/platform/watchResponse";
import { StoredValue } from "@vanillarouter/standins/storedValue";
import { Err, Ok, Result } from "ts-results";
import { MemoryPlatform } from "./memoryPlatform";

/** A client of the in-memory platform. */
export class MemoryPlatformClient implements KeyValueStore, VmList {
    private constructor(
        private readonly platform: MemoryPlatform,
        private readonly clock: Clock,
        private readonly host: string,
        private readonly isReachable: () => boolean,
    ) {}

    /** Creates a client; calls fail while `isReachable` returns false. */
    public static create(platform: MemoryPlatform, clock: Clock, host = "", isReachable: () => boolean = () => true): MemoryPlatformClient {
        return new MemoryPlatformClient(platform, clock, host, isReachable);
    }

    public *read(key: string): Operation<Result<StoreEntry | undefined, Failure>> {
        const failure = yield* this.startCall("read");
        return failure === undefined ? Ok(toStoreEntry(this.platform.find(this.host, key))) : Err(failure);
    }

    public *readAll(keys: readonly string[]): Operation<Result<readonly StoreEntry[], Failure>> {
        const failure = yield* this.startCall("read");
        return failure === undefined
            ? Ok(keys.map(key => toStoreEntry(this.platform.find(this.host, key))).filter(entry => entry !== undefined))
            : Err(failure);
    }

    public *listKeys(prefix: string): Operation<Result<readonly string[], Failure>> {
        const failure = yield* this.startCall("list");
        return failure === undefined ? Ok(this.platform.store.list(prefix).map(stored => stored.key)) : Err(failure);
    }

    public *watch(key: string, index: number, waitMs: number): Operation<Result<WatchResponse, Failure>> {
        const failure = yield* this.startCall("watch");
        if (failure !== undefined) return Err(failure);
        const deadline = this.clock.now() + waitMs;
        const { restoreCount } = this.platform.store;
        const hasChanged = (): boolean => (this.platform.find(this.host, key)?.modifyIndex ?? 0) > index || this.platform.store.restoreCount !== restoreCount;
        this.platform.waitingWatches++;
        try {
            while (this.isAvailable && index > 0 && !hasChanged() && this.clock.now() < deadline) {
                yield* perform<void>({ start: resume => this.platform.store.waitForWrite(Math.min(1_000, deadline - this.clock.now()), () => resume()) });
            }
        }
        finally {
            this.platform.waitingWatches--;
        }
        yield* sleep(this.clock, this.platform.delayMs);
        if (!this.isAvailable) return Err(this.createUnreachableFailure("watch"));
        return Ok({ entry: toStoreEntry(this.platform.find(this.host, key)), index: this.platform.store.index });
    }

    public *commit(writes: readonly StoreWrite[]): Operation<Result<CommitOutcome, Failure>> {
        const failure = yield* this.startCall("commit");
        if (failure !== undefined) return Err(failure);
        const outcome = this.platform.store.commit(writes.map(write => ({
            verb: write.kind !== "check" ? "cas" : write.version === 0 ? "check-not-exists" : "check-index",
            key: write.key,
            index: write.version ?? 0,
            value: Buffer.from(write.value ?? ""),
        })));
        const values = outcome.committed ? outcome.values : [];
        return Ok({ committed: outcome.committed, versions: new Map(values.map(value => [value.key, value.modifyIndex])) });
    }

    public *readVms(_timeoutMs: number, zone?: string): Operation<Result<readonly ListedVm[], Failure>> {
        const failure = yield* this.startCall("vms");
        return failure === undefined ? Ok(this.platform.vms.filter(vm => zone === undefined || vm.zone === zone)) : Err(failure);
    }

    private get isAvailable(): boolean {
        return !this.platform.isDown && this.isReachable();
    }

    /** Counts a call and waits for its delay. Returns a failure if the platform is unavailable. */
    private *startCall(kind: string): Operation<Failure | undefined> {
        this.platform.countCall(kind);
        yield* sleep(this.clock, this.platform.delayMs);
        return this.isAvailable ? undefined : this.createUnreachableFailure(kind);
    }

    private createUnreachableFailure(kind: string): Failure {
        return createFailure(Diagnostics.storeUnreachable, RunOutcome.DidNotRun, kind, "outage");
    }
}

function toStoreEntry(value: StoredValue | undefined): StoreEntry | undefined {
    return value === undefined ? undefined : { key: value.key, value: value.value.toString("utf8"), version: value.modifyIndex };
}
