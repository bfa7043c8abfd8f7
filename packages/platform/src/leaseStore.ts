import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Result } from "ts-results";

/**
 * Leases of the platform's store. A lease is a hint and no fence: its holder may be paused past its end without knowing.
 * Decisions that need fencing use the terms of a database group.
 */
export interface LeaseStore {
    /** Makes a session that ends when it is not renewed for `ttlMs` milliseconds, and returns its id. */
    createSession(ttlMs: number, timeoutMs: number): Operation<Result<string, Failure>>;
    /** Fails with `leaseLost` when the session has ended. */
    renewSession(session: string, timeoutMs: number): Operation<Result<void, Failure>>;
    /** Takes the lease of a key; false if another session holds it. */
    acquire(key: string, session: string, value: string, timeoutMs: number): Operation<Result<boolean, Failure>>;
    endSession(session: string, timeoutMs: number): Operation<Result<void, Failure>>;
}
