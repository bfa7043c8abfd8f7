import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { TaskGroup } from "@vanillarouter/base/taskGroup";

interface Round<T> {
    readonly done: Signal<void>;
    value?: T;
    isDone: boolean;
}

/**
 * Shares the rounds of an operation among all that ask for it. Whoever asks gets the result of a round that began after
 * the question; a round under way began too early.
 */
export class SharedRound<T> {
    private next: Round<T> | undefined;
    private isRunning = false;

    private constructor(private readonly tasks: TaskGroup, private readonly operation: () => Operation<T>) {}

    public static create<T>(tasks: TaskGroup, operation: () => Operation<T>): SharedRound<T> {
        return new SharedRound(tasks, operation);
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
