/**
 * Runs resumed tasks one after another in the order in which they became ready.
 *
 * A task is never resumed inside another task's step, so a step sees no changes made by others while it runs, and long
 * chains of wake-ups do not grow the stack.
 */
export class ReadyQueue {
    private entries: (() => void)[] = [];
    private draining = false;

    private constructor() {}

    public static create(): ReadyQueue {
        return new ReadyQueue();
    }

    public push(entry: () => void): void {
        this.entries.push(entry);
        if (!this.draining) this.drain();
    }

    private drain(): void {
        this.draining = true;
        try {
            while (this.entries.length > 0) {
                const batch = this.entries;
                this.entries = [];
                for (const entry of batch) entry();
            }
        }
        finally {
            this.draining = false;
        }
    }
}
