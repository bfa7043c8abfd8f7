import { Effect } from "./effect";
import { Operation } from "./operation";
import { perform } from "./perform";
import { ReadyQueue } from "./readyQueue";
import { TaskCancelledError } from "./taskCancelledError";
import { TaskState } from "./taskState";

const readyQueue = ReadyQueue.create();

function doNothing(): void {}

/**
 * Runs one operation. The first step runs synchronously in `start`, unless another task's step is running.
 *
 * Cancelling a task cancels the effect it waits for and runs its `finally` blocks, which may wait for further effects.
 */
export class Task<T> {
    private state = TaskState.Running;
    private value: T | undefined;
    private error: unknown;
    private cancelWait: () => void = doNothing;
    private stepNumber = 0;
    private readonly settledListeners = new Set<() => void>();

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

    /** Cancels the task and returns immediately. Use `join` to wait until the `finally` blocks have completed. */
    public cancel(): void {
        if (this.state !== TaskState.Running) return;
        this.state = TaskState.Cancelling;
        this.stepNumber++;
        this.cancelWait();
        this.cancelWait = doNothing;
        readyQueue.push(() => this.advance(() => this.operation.return(undefined as T)));
    }

    /** Waits until the task has settled and returns its value. Throws its error, or TaskCancelledError. */
    public join(): Operation<T> {
        return perform<T>({
            start: (resume, fail) => {
                const deliverOutcome = (): void => this.deliver(resume, fail);
                if (this.isSettled) {
                    deliverOutcome();
                    return doNothing;
                }
                this.settledListeners.add(deliverOutcome);
                return () => this.settledListeners.delete(deliverOutcome);
            },
        });
    }

    /** Calls the listener once when the task has settled, or immediately if it already has. */
    public onSettled(listener: () => void): void {
        if (this.isSettled) listener();
        else this.settledListeners.add(listener);
    }

    /** Returns a promise of the task's value. Rejects with its error, or with TaskCancelledError. */
    public toPromise(): Promise<T> {
        return new Promise((resolve, reject) => this.onSettled(() => this.deliver(resolve, reject)));
    }

    /** Calls `resume` with the value of a settled task, or `fail` with its error or with TaskCancelledError. */
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
            this.startEffect(result.value);
            return;
        }
        this.value = result.value;
        this.settle(this.state === TaskState.Cancelling ? TaskState.Cancelled : TaskState.Succeeded);
    }

    /** Starts an effect. Late calls of `resume` and `fail` are ignored because the step number has changed by then. */
    private startEffect(effect: Effect<unknown>): void {
        const effectStep = ++this.stepNumber;
        const scheduleNextStep = (next: () => IteratorResult<Effect<unknown>, T>): void => {
            if (effectStep !== this.stepNumber) return;
            this.stepNumber++;
            this.cancelWait = doNothing;
            const scheduledStep = this.stepNumber;
            readyQueue.push(() => {
                if (scheduledStep === this.stepNumber) this.advance(next);
            });
        };
        let cancelWait: () => void;
        try {
            cancelWait = effect.start(value => scheduleNextStep(() => this.operation.next(value)), err => scheduleNextStep(() => this.operation.throw(err)));
        }
        catch (err) {
            scheduleNextStep(() => this.operation.throw(err));
            return;
        }
        if (effectStep === this.stepNumber) this.cancelWait = cancelWait;
    }

    private settle(state: TaskState): void {
        this.state = state;
        const listeners = [...this.settledListeners];
        this.settledListeners.clear();
        for (const listener of listeners) listener();
    }
}
