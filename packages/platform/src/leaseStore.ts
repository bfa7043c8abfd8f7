import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Result } from "ts-results";

/**
 * Leases of the platform's store. A lease is a hint and does not fence its holder: a holder that was paused may not notice
 * that its lease has expired. Decisions that need fencing use the terms of a database group.
 */
export interface LeaseStore {
    /** Creates a session that ends if it is not renewed for `ttlMs` milliseconds, and returns its id. */
    createSession(ttlMs: number, timeoutMs: number): Operation<Result<string, Failure>>;
    /** Fails with `leaseLost` when the session has ended. */
    renewSession(session: string, timeoutMs: number): Operation<Result<void, Failure>>;
    /** Acquires the lease of a key. Returns false if another session holds it. */
    acquire(key: string, session: string, value: string, timeoutMs: number): Operation<Result<boolean, Failure>>;
    endSession(session: string, timeoutMs: number): Operation<Result<void, Failure>>;
}
