import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { TaskGroup } from "@vanillarouter/base/taskGroup";

interface Round<T> {
    readonly done: Signal<void>;
    value?: T;
    isDone: boolean;
}

/**
 * Coalesces concurrent calls of an operation. Each run of the operation, a round, serves all calls that were made before it
 * began. A call made during a round waits for the next one, because the result must not be older than the call.
 */
export class CoalescedOperation<T> {
    private next: Round<T> | undefined;
    private isRunning = false;

    private constructor(private readonly tasks: TaskGroup, private readonly operation: () => Operation<T>) {}

    public static create<T>(tasks: TaskGroup, operation: () => Operation<T>): CoalescedOperation<T> {
        return new CoalescedOperation(tasks, operation);
    }

    public *join(): Operation<T> {
        this.next ??= { done: Signal.create<void>(), isDone: false };
        const round = this.next;
        if (!this.isRunning) this.tasks.start(this.run());
        while (!round.isDone) yield* round.done.wait();
        return round.value as T;
    }

    private *run(): Operation<void> {
        if (this.isRunning) return;
        this.isRunning = true;
        try {
            while (this.next !== undefined) yield* this.runRound(this.next);
        }
        finally {
            this.isRunning = false;
        }
    }

    private *runRound(round: Round<T>): Operation<void> {
        this.next = undefined;
        round.value = yield* this.operation();
        round.isDone = true;
        round.done.notifyAll();
    }
}
