import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Result } from "ts-results";
import { CommitOutcome } from "./commitOutcome";
import { StoreEntry } from "./storeEntry";
import { StoreWrite } from "./storeWrite";
import { WatchAnswer } from "./watchAnswer";

/** The platform's key-value store. Every call ends within its timeout. */
export interface KeyValueStore {
    read(key: string, timeoutMs: number): Operation<Result<StoreEntry | undefined, Failure>>;
    /** Reads several keys one after another, so not as of one moment. Absent keys are left out. */
    readAll(keys: readonly string[], timeoutMs: number): Operation<Result<readonly StoreEntry[], Failure>>;
    /** Lists keys below a prefix in ascending order; with a separator, up to and including its next occurrence. */
    listKeys(prefix: string, separator: string | undefined, timeoutMs: number): Operation<Result<readonly string[], Failure>>;
    /** Waits until the key changes after `index` (0 answers at once), at most `waitMs` milliseconds. */
    watch(key: string, index: number, waitMs: number): Operation<Result<WatchAnswer, Failure>>;
    /** Applies all writes or none. A failure with outcome Unknown means that they may have taken effect. */
    commit(writes: readonly StoreWrite[], timeoutMs: number): Operation<Result<CommitOutcome, Failure>>;
}
