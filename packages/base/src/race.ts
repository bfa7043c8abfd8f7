import { Operation } from "./operation";
import { perform } from "./perform";
import { Task } from "./task";

/** Runs operations concurrently, returns the value (or throws the error) of the first one that settles and cancels the others. */
export function race<T>(operations: readonly Operation<T>[]): Operation<T> {
    return perform<T>({
        start: (resume, fail) => {
            const tasks = operations.map(operation => Task.start(operation));
            let isSettled = false;
            const cancelAll = (): void => {
                isSettled = true;
                for (const task of tasks) task.cancel();
            };
            for (const task of tasks) {
                task.onSettled(() => {
                    if (isSettled) return;
                    cancelAll();
                    task.deliver(resume, fail);
                });
            }
            return cancelAll;
        },
    });
}
