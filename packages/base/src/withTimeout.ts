import { Clock } from "./clock";
import { Operation } from "./operation";
import { race } from "./race";
import { sleep } from "./sleep";

function* returnUndefinedAfter(clock: Clock, delayMs: number): Operation<undefined> {
    yield* sleep(clock, delayMs);
    return undefined;
}

/** Runs an operation for at most `delayMs` milliseconds. Returns undefined, with the operation cancelled, on timeout. */
export function withTimeout<T>(clock: Clock, delayMs: number, operation: Operation<T>): Operation<T | undefined> {
    return race<T | undefined>([operation, returnUndefinedAfter(clock, delayMs)]);
}
