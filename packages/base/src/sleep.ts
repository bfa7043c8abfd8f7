import { Clock } from "./clock";
import { Operation } from "./operation";
import { perform } from "./perform";

/** Waits for `delayMs` milliseconds, measured by the given clock. */
export function sleep(clock: Clock, delayMs: number): Operation<void> {
    return perform<void>({ start: resume => clock.startTimer(delayMs, () => resume()) });
}
