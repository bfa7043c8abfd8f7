import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { Result } from "ts-results";
import { RecordedOutcome } from "../outcomes/recordedOutcome";
import { TermAnswer } from "./termAnswer";
import { UpstreamStatus } from "./upstreamStatus";

/** What one upstream offers as a member of its database group. Every call ends within `timeoutMs` milliseconds. */
export interface GroupPeer {
    readonly upstream: string;
    /** Notified when the open connection ends without having been closed here; absent if that is not known. */
    readonly disconnected?: Signal<void>;
    readStatus(timeoutMs: number): Operation<Result<UpstreamStatus, Failure>>;
    /** Asks it to accept a term; from then on it takes and confirms no entry of a lower one. */
    acceptTerm(term: number, timeoutMs: number): Operation<Result<TermAnswer, Failure>>;
    /** Makes it primary of a term that it accepted; its first entry of the term is an empty one. */
    promote(term: number, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>>;
    /** Makes it replicate from a primary, dropping entries that the primary does not hold. */
    follow(term: number, primary: string, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>>;
    /** Waits until it holds an entry. Ok gives its state at that time; the caller compares `acceptedTerm`. */
    waitReceived(entry: LogPosition, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>>;
    /** Reads what is recorded of a request id; undefined if nothing is. */
    lookUp(requestId: string, timeoutMs: number): Operation<Result<RecordedOutcome | undefined, Failure>>;
    /** Records a request id as cancelled unless it is recorded; returns the record. Refused in another term. */
    cancel(requestId: string, term: number, timeoutMs: number): Operation<Result<RecordedOutcome, Failure>>;
    close(): void;
}
