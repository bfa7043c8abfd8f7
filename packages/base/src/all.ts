import { Operation } from "./operation";
import { perform } from "./perform";
import { Task } from "./task";

/** Runs operations together and returns their values in order. The first error cancels the others and is thrown. */
export function all<T>(operations: readonly Operation<T>[]): Operation<readonly T[]> {
    return perform<readonly T[]>({
        start: (resume, fail) => {
            const tasks = operations.map(operation => Task.start(operation));
            const values = new Array<T>(tasks.length);
            let waiting = tasks.length;
            let settled = false;
            const cancelAll = (): void => {
                settled = true;
                for (const task of tasks) task.cancel();
            };
            const accept = (index: number, value: T): void => {
                values[index] = value;
                if (--waiting === 0) resume(values);
            };
            const abort = (err: unknown): void => {
                cancelAll();
                fail(err);
            };
            if (waiting === 0) resume(values);
            tasks.forEach((task, index) => task.onSettled(() => settled || task.deliver(value => accept(index, value), abort)));
            return cancelAll;
        },
    });
}
