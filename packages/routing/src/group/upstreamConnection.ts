import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { Result } from "ts-results";
import { UpstreamResponse } from "./upstreamResponse";

/**
 * One connection to an upstream. It executes one statement at a time. A connection whose statement was cancelled or
 * failed with outcome Unknown must be closed and never used again.
 */
export interface UpstreamConnection {
    readonly isOpen: boolean;
    /** Runs a single read. The upstream refuses it while it has not applied `floor`. */
    read(sql: string, floor: LogPosition | undefined): Operation<Result<UpstreamResponse, Failure>>;
    /** Runs a single write in its own transaction, recording the request id with it. The upstream refuses it in another term. */
    write(sql: string, term: number, requestId: string): Operation<Result<UpstreamResponse, Failure>>;
    begin(term: number): Operation<Result<void, Failure>>;
    executeInTransaction(sql: string): Operation<Result<UpstreamResponse, Failure>>;
    /** Commits the open transaction, recording the request id with it. The upstream refuses it in another term. */
    commit(term: number, requestId: string): Operation<Result<UpstreamResponse, Failure>>;
    rollback(): Operation<Result<void, Failure>>;
    /** Checks that the upstream responds. */
    ping(): Operation<Result<void, Failure>>;
    close(): void;
}
