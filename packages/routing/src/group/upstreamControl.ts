import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { Result } from "ts-results";
import { RecordedOutcome } from "../outcomes/recordedOutcome";
import { TermResponse } from "./termResponse";
import { UpstreamStatus } from "./upstreamStatus";

/** Control interface of one upstream as a member of its database group. Every call ends within `timeoutMs` milliseconds. */
export interface UpstreamControl {
    readonly upstream: string;
    /** Notified when the connection ends without having been closed here. Absent if the implementation cannot detect this. */
    readonly disconnected?: Signal<void>;
    readStatus(timeoutMs: number): Operation<Result<UpstreamStatus, Failure>>;
    /** Asks the upstream to accept a term. From then on it neither receives nor confirms log entries of a lower term. */
    acceptTerm(term: number, timeoutMs: number): Operation<Result<TermResponse, Failure>>;
    /** Makes the upstream primary of a term that it accepted. Its first log entry of the term is empty. */
    promote(term: number, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>>;
    /** Makes the upstream replicate from a primary and drop log entries that the primary does not hold. */
    follow(term: number, primary: string, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>>;
    /** Waits until the upstream holds a log entry. Returns its status at that time; the caller has to compare `acceptedTerm`. */
    waitForLogEntry(entry: LogPosition, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>>;
    /** Reads the record of a request id. Returns undefined if there is none. */
    lookUp(requestId: string, timeoutMs: number): Operation<Result<RecordedOutcome | undefined, Failure>>;
    /** Records a request id as cancelled unless it has a record. Returns the record. The upstream refuses the call in another term. */
    cancel(requestId: string, term: number, timeoutMs: number): Operation<Result<RecordedOutcome, Failure>>;
    close(): void;
}
