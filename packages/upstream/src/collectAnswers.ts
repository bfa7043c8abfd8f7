import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { TaskGroup } from "@vanillarouter/base/taskGroup";

/**
 * Runs operations together and returns the values so far once all have ended, or `graceMs` milliseconds after
 * `isEnough` became true. Operations that are slower go on in the task group; their values are dropped.
 */
export function* collectAnswers<T>(
    clock: Clock,
    tasks: TaskGroup,
    operations: readonly Operation<T>[],
    isEnough: (values: readonly T[]) => boolean,
    graceMs: number,
): Operation<readonly T[]> {
    const values: T[] = [];
    const arrived = Signal.create<void>();
    let running = operations.length;
    for (const operation of operations) {
        const task = tasks.start(operation);
        task.onSettled(() => {
            running--;
            task.deliver(value => values.push(value), () => {});
            arrived.notifyAll();
        });
    }
    while (running > 0 && !isEnough(values)) yield* arrived.wait();
    const deadline = clock.now() + graceMs;
    while (running > 0 && clock.now() < deadline) yield* race([arrived.wait(), sleep(clock, deadline - clock.now())]);
    return [...values];
}
