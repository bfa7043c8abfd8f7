import { Clock } from "./clock";
import { Operation } from "./operation";
import { race } from "./race";
import { sleep } from "./sleep";

function* returnUndefinedAfter(clock: Clock, delayMs: number): Operation<undefined> {
    yield* sleep(clock, delayMs);
    return undefined;
}

/** Runs an operation for at most `timeoutMs` milliseconds. On timeout, cancels the operation and returns undefined. */
export function withTimeout<T>(clock: Clock, timeoutMs: number, operation: Operation<T>): Operation<T | undefined> {
    return race<T | undefined>([operation, returnUndefinedAfter(clock, timeoutMs)]);
}
