import { Operation } from "./operation";
import { perform } from "./perform";

/**
 * An unbounded queue from any number of senders to one or more receiving tasks. Senders are responsible for limiting its
 * size. A value delivered to a task that is cancelled before its next step is lost.
 */
export class Channel<T> {
    private readonly values: T[] = [];
    private readonly receivers = new Set<(value: T) => void>();

    private constructor() {}

    public static create<T>(): Channel<T> {
        return new Channel<T>();
    }

    public get size(): number {
        return this.values.length;
    }

    public send(value: T): void {
        for (const receiver of this.receivers) {
            this.receivers.delete(receiver);
            receiver(value);
            return;
        }
        this.values.push(value);
    }

    /** Removes and returns the values that wait to be received. */
    public takeAll(): readonly T[] {
        return this.values.splice(0);
    }

    /** Waits for the next value. */
    public receive(): Operation<T> {
        return perform<T>({
            start: resume => {
                if (this.values.length > 0) {
                    resume(this.values.shift()!);
                    return () => {};
                }
                this.receivers.add(resume);
                return () => this.receivers.delete(resume);
            },
        });
    }
}
