import { all } from "@vanillarouter/base/all";
import { Clock } from "@vanillarouter/base/clock";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { sleep } from "@vanillarouter/base/sleep";
import { Task } from "@vanillarouter/base/task";
import { configurationKeys } from "@vanillarouter/platform/configurationKeys";
import { ConfigurationShard } from "@vanillarouter/platform/configurationShard";
import { KeyValueStore } from "@vanillarouter/platform/keyValueStore";
import { parseShardEntry } from "@vanillarouter/platform/parseShardEntry";
import { shardNames } from "@vanillarouter/platform/shardNames";

interface StoreWatcherOptions {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns whether this VM is currently a relay. */
    readonly isRelay: () => boolean;
    readonly accept: (shard: ConfigurationShard) => void;
    readonly onFailure: (shard: string, failure: Failure) => void;
}

const relayCheckIntervalMs = 500;
const maxWatchMs = 60_000;
const initialRetryMs = 250;
const maxRetryMs = 5_000;
/** A watch that returns sooner than this without a new index is delayed before it is repeated, so that a faulty store is not overloaded with calls. */
const minWatchMs = 200;

/** Watches the configuration shards in the store while this VM is a relay, with one long-polling call per shard. */
export class StoreWatcher {
    private constructor(private readonly options: StoreWatcherOptions) {}

    public static create(options: StoreWatcherOptions): StoreWatcher {
        return new StoreWatcher(options);
    }

    /** Watches the store until cancelled, as long as this VM is a relay. */
    public *run(): Operation<never> {
        let watches: Task<unknown> | undefined;
        try {
            for (;;) {
                const isRelay = this.options.isRelay();
                if (isRelay && watches === undefined) watches = Task.start(all(shardNames.map(name => this.watchShard(name))));
                if (!isRelay && watches !== undefined) {
                    watches.cancel();
                    watches = undefined;
                }
                yield* sleep(this.options.clock, relayCheckIntervalMs);
            }
        }
        finally {
            watches?.cancel();
        }
    }

    private *watchShard(name: string): Operation<never> {
        const { clock, random, store } = this.options;
        let index = 0;
        let retryMs = initialRetryMs;
        for (;;) {
            const startedAt = clock.now();
            const response = yield* store.watch(configurationKeys.formatShardKey(name), index, maxWatchMs * (0.75 + 0.25 * random.next()));
            const shard = response.err ? response : parseShardEntry(name, response.val.entry);
            if (shard.err) {
                this.options.onFailure(name, shard.val);
                yield* sleep(clock, retryMs * (0.5 + 0.5 * random.next()));
                retryMs = Math.min(maxRetryMs, retryMs * 2);
                index = 0;
                continue;
            }
            retryMs = initialRetryMs;
            this.options.accept(shard.val);
            // A lower index means that the store was restored; a watch from the old index might never return.
            const nextIndex = response.err ? 0 : response.val.index;
            const wasEarly = nextIndex <= index && clock.now() - startedAt < minWatchMs;
            index = nextIndex < index ? 0 : nextIndex;
            if (wasEarly) yield* sleep(clock, minWatchMs);
        }
    }
}
