import { Clock } from "./clock";
import { Operation } from "./operation";
import { sleep } from "./sleep";
import { Task } from "./task";
import { TaskCancelledError } from "./taskCancelledError";
import { TaskState } from "./taskState";

/** Delay before an operation that failed is started again, so that one that always fails does not use the whole processor. */
const restartDelayMs = 500;

/** A set of tasks that are cancelled together. The error of a failed task is passed to `onFailure`; the other tasks continue. */
export class TaskGroup {
    private readonly tasks = new Set<Task<unknown>>();

    private constructor(private readonly onFailure: (err: unknown) => void) {}

    public static create(onFailure: (err: unknown) => void): TaskGroup {
        return new TaskGroup(onFailure);
    }

    public get size(): number {
        return this.tasks.size;
    }

    public start<T>(operation: Operation<T>): Task<T> {
        const task = Task.start(operation);
        this.tasks.add(task);
        task.onSettled(() => {
            this.tasks.delete(task);
            if (task.currentState === TaskState.Failed) task.toPromise().catch(this.onFailure);
        });
        return task;
    }

    /** Starts an operation that must run until it is cancelled. If it fails, its error is passed to `onFailure`, and the operation starts again. */
    public keepRunning(clock: Clock, createOperation: () => Operation<unknown>): Task<void> {
        return this.start(this.restartOnFailure(clock, createOperation));
    }

    private *restartOnFailure(clock: Clock, createOperation: () => Operation<unknown>): Operation<void> {
        for (;;) {
            try {
                yield* createOperation();
                return;
            }
            catch (err) {
                if (err instanceof TaskCancelledError) throw err;
                this.onFailure(err);
            }
            yield* sleep(clock, restartDelayMs);
        }
    }

    /** Cancels all tasks and waits until their `finally` blocks have completed. */
    public *cancelAll(): Operation<void> {
        const tasks = [...this.tasks];
        for (const task of tasks) task.cancel();
        for (const task of tasks) {
            try {
                yield* task.join();
            }
            catch {
                // Errors are reported through `onFailure`, and TaskCancelledError is expected here.
            }
        }
    }
}
