import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { Task } from "@vanillarouter/base/task";

/** Conditions for ending the wait for an operation. */
interface WaitLimits {
    /** Maximum wait, in milliseconds. */
    readonly limitMs: number;
    /** Interval between checks whether to stop waiting early, in milliseconds. */
    readonly checkIntervalMs: number;
    /** Whether to stop waiting before the maximum wait is over. */
    readonly shouldStopWaiting: () => boolean;
}

/**
 * Waits for an operation, or returns undefined once the limits are reached. The operation then continues and its late
 * result is discarded: cancelling it would interrupt a statement and cost the owner a connection.
 */
export function waitWithLimits<T>(clock: Clock, limits: WaitLimits, operation: Operation<T>): Operation<T | undefined> {
    return perform<T | undefined>({
        start: (resume, fail) => {
            const end = clock.now() + limits.limitMs;
            const task = Task.start(operation);
            let isSettled = false;
            let stopTimer = (): void => {};
            const settle = (): boolean => {
                stopTimer();
                return !isSettled && (isSettled = true);
            };
            const startTimer = (): void => {
                const remainingMs = end - clock.now();
                stopTimer = clock.startTimer(Math.min(remainingMs, limits.checkIntervalMs), () => {
                    if (clock.now() < end && !limits.shouldStopWaiting()) startTimer();
                    else if (settle()) resume(undefined);
                });
            };
            startTimer();
            task.onSettled(() => {
                if (settle()) task.deliver(resume, fail);
            });
            return () => {
                settle();
                task.cancel();
            };
        },
    });
}
