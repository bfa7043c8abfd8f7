import { Operation } from "./operation";
import { perform } from "./perform";
import { Task } from "./task";

/** Runs operations concurrently and returns their values in the order of `operations`. The first error cancels the others and is thrown. */
export function all<T>(operations: readonly Operation<T>[]): Operation<readonly T[]> {
    return perform<readonly T[]>({
        start: (resume, fail) => {
            const tasks = operations.map(operation => Task.start(operation));
            const values = new Array<T>(tasks.length);
            let pendingCount = tasks.length;
            let isSettled = false;
            const cancelAll = (): void => {
                isSettled = true;
                for (const task of tasks) task.cancel();
            };
            const storeValue = (index: number, value: T): void => {
                values[index] = value;
                if (--pendingCount === 0) resume(values);
            };
            const failAndCancel = (err: unknown): void => {
                cancelAll();
                fail(err);
            };
            if (pendingCount === 0) resume(values);
            tasks.forEach((task, index) => task.onSettled(() => isSettled || task.deliver(value => storeValue(index, value), failAndCancel)));
            return cancelAll;
        },
    });
}
