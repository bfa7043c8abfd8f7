import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { TaskGroup } from "@vanillarouter/base/taskGroup";

/**
 * Runs operations concurrently. Returns the values received once all operations have ended, or `graceMs` milliseconds
 * after `isEnough` became true. Slower operations continue in the task group; their values are discarded.
 */
export function* collectResponses<T>(
    clock: Clock,
    tasks: TaskGroup,
    operations: readonly Operation<T>[],
    isEnough: (values: readonly T[]) => boolean,
    graceMs: number,
): Operation<readonly T[]> {
    const values: T[] = [];
    const settled = Signal.create<void>();
    let pendingCount = operations.length;
    for (const operation of operations) {
        const task = tasks.start(operation);
        task.onSettled(() => {
            pendingCount--;
            task.deliver(value => values.push(value), () => {});
            settled.notifyAll();
        });
    }
    while (pendingCount > 0 && !isEnough(values)) yield* settled.wait();
    const deadline = clock.now() + graceMs;
    while (pendingCount > 0 && clock.now() < deadline) yield* race([settled.wait(), sleep(clock, deadline - clock.now())]);
    return [...values];
}
