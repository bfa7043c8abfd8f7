/**
 * Runs the next steps of tasks one after another, in the order in which the tasks became ready.
 *
 * A step never runs inside another task's step. Therefore no code of another task runs in the middle of a step, and a long
 * chain of tasks that resume each other does not grow the stack.
 */
export class ReadyQueue {
    private pendingSteps: (() => void)[] = [];
    private isDraining = false;

    private constructor() {}

    public static create(): ReadyQueue {
        return new ReadyQueue();
    }

    public push(step: () => void): void {
        this.pendingSteps.push(step);
        if (!this.isDraining) this.drain();
    }

    private drain(): void {
        this.isDraining = true;
        try {
            while (this.pendingSteps.length > 0) {
                const batch = this.pendingSteps;
                this.pendingSteps = [];
                for (const step of batch) step();
            }
        }
        finally {
            this.isDraining = false;
        }
    }
}
