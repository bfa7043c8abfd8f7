import { Effect } from "./effect";
import { Operation } from "./operation";
import { perform } from "./perform";
import { ReadyQueue } from "./readyQueue";
import { TaskCancelledError } from "./taskCancelledError";
import { TaskState } from "./taskState";

const readyQueue = ReadyQueue.create();

function ignore(): void {}

/**
 * Runs one operation. The first step runs synchronously inside `start` unless another task's step is running.
 *
 * Cancelling a task cancels its current wait and runs its `finally` blocks, which may wait themselves.
 */
export class Task<T> {
    private state = TaskState.Running;
    private value: T | undefined;
    private error: unknown;
    private cancelWait: () => void = ignore;
    private step = 0;
    private readonly listeners = new Set<() => void>();

    private constructor(private readonly operation: Operation<T>) {}

    public static start<T>(operation: Operation<T>): Task<T> {
        const task = new Task(operation);
        readyQueue.push(() => task.advance(() => operation.next()));
        return task;
    }

    public get isSettled(): boolean {
        return this.state !== TaskState.Running && this.state !== TaskState.Cancelling;
    }

    public get currentState(): TaskState {
        return this.state;
    }

    /** Cancels the task. Returns at once; `join` waits until the `finally` blocks are done. */
    public cancel(): void {
        if (this.state !== TaskState.Running) return;
        this.state = TaskState.Cancelling;
        this.step++;
        this.cancelWait();
        this.cancelWait = ignore;
        readyQueue.push(() => this.advance(() => this.operation.return(undefined as T)));
    }

    /** Waits for the task and returns its value. Throws its error, or TaskCancelledError. */
    public join(): Operation<T> {
        return perform<T>({
            start: (resume, fail) => {
                const settle = (): void => this.deliver(resume, fail);
                if (this.isSettled) {
                    settle();
                    return ignore;
                }
                this.listeners.add(settle);
                return () => this.listeners.delete(settle);
            },
        });
    }

    /** Calls the listener once when the task has settled; at once if it already has. */
    public onSettled(listener: () => void): void {
        if (this.isSettled) listener();
        else this.listeners.add(listener);
    }

    /** Returns a promise of the task's value. Rejects with its error, or with TaskCancelledError. */
    public toPromise(): Promise<T> {
        return new Promise((resolve, reject) => this.onSettled(() => this.deliver(resolve, reject)));
    }

    /** Passes the outcome of a settled task on. */
    public deliver(resume: (value: T) => void, fail: (err: unknown) => void): void {
        if (this.state === TaskState.Succeeded) resume(this.value as T);
        else if (this.state === TaskState.Failed) fail(this.error);
        else fail(TaskCancelledError.create());
    }

    private advance(next: () => IteratorResult<Effect<unknown>, T>): void {
        if (this.isSettled) return;
        let result: IteratorResult<Effect<unknown>, T>;
        try {
            result = next();
        }
        catch (err) {
            this.error = err;
            this.settle(TaskState.Failed);
            return;
        }
        if (!result.done) {
            this.wait(result.value);
            return;
        }
        this.value = result.value;
        this.settle(this.state === TaskState.Cancelling ? TaskState.Cancelled : TaskState.Succeeded);
    }

    /** Starts an effect. A step number makes late calls of `resume` and `fail` harmless. */
    private wait(effect: Effect<unknown>): void {
        const step = ++this.step;
        const wake = (next: () => IteratorResult<Effect<unknown>, T>): void => {
            if (step !== this.step) return;
            this.step++;
            this.cancelWait = ignore;
            const resumed = this.step;
            readyQueue.push(() => {
                if (resumed === this.step) this.advance(next);
            });
        };
        let cancelWait: () => void;
        try {
            cancelWait = effect.start(value => wake(() => this.operation.next(value)), err => wake(() => this.operation.throw(err)));
        }
        catch (err) {
            wake(() => this.operation.throw(err));
            return;
        }
        if (step === this.step) this.cancelWait = cancelWait;
    }

    private settle(state: TaskState): void {
        this.state = state;
        const listeners = [...this.listeners];
        this.listeners.clear();
        for (const listener of listeners) listener();
    }
}
