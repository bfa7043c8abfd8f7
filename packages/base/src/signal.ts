import { Operation } from "./operation";
import { perform } from "./perform";

/** Resumes every task that is waiting when `notifyAll` is called. The value is not kept for tasks that start to wait later. */
export class Signal<T> {
    private readonly waiters = new Set<(value: T) => void>();

    private constructor() {}

    public static create<T>(): Signal<T> {
        return new Signal<T>();
    }

    public notifyAll(value: T): void {
        const waiters = [...this.waiters];
        this.waiters.clear();
        for (const waiter of waiters) waiter(value);
    }

    public wait(): Operation<T> {
        return perform<T>({
            start: resume => {
                this.waiters.add(resume);
                return () => this.waiters.delete(resume);
            },
        });
    }
}
