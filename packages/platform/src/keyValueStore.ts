import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Result } from "ts-results";
import { CommitOutcome } from "./commitOutcome";
import { StoreEntry } from "./storeEntry";
import { StoreWrite } from "./storeWrite";
import { WatchResponse } from "./watchResponse";

/** The platform's key-value store. Every call ends within a bounded time. */
export interface KeyValueStore {
    read(key: string, timeoutMs: number): Operation<Result<StoreEntry | undefined, Failure>>;
    /** Reads several keys one after another, each with the given timeout, so the result is not a consistent snapshot. Absent keys are omitted. */
    readAll(keys: readonly string[], timeoutMs: number): Operation<Result<readonly StoreEntry[], Failure>>;
    /** Lists keys with a prefix in ascending order. With a separator, keys are cut off after its next occurrence. */
    listKeys(prefix: string, separator: string | undefined, timeoutMs: number): Operation<Result<readonly string[], Failure>>;
    /** Waits at most `waitMs` milliseconds until the key changes after `index`. With index 0 it returns immediately. */
    watch(key: string, index: number, waitMs: number): Operation<Result<WatchResponse, Failure>>;
    /** Applies all writes or none. After a failure with outcome Unknown, the writes may have taken effect. */
    commit(writes: readonly StoreWrite[], timeoutMs: number): Operation<Result<CommitOutcome, Failure>>;
}
