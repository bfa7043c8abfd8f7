import { Clock } from "./clock";

interface Timer {
    readonly dueTime: number;
    readonly sequence: number;
    readonly listener: () => void;
    cancelled: boolean;
}

/**
 * A clock whose time changes only when `advance` or `advanceTo` is called. Timers due at the same time fire in the
 * order in which they were started.
 */
export class ManualClock implements Clock {
    private readonly heap: Timer[] = [];
    private nextSequence = 0;

    private constructor(private currentTime: number) {}

    public static create(startMs = 0): ManualClock {
        return new ManualClock(startMs);
    }

    public now(): number {
        return this.currentTime;
    }

    public startTimer(delayMs: number, listener: () => void): () => void {
        const timer: Timer = { dueTime: this.currentTime + Math.max(0, delayMs), sequence: this.nextSequence++, listener, cancelled: false };
        this.insert(timer);
        return () => {
            timer.cancelled = true;
        };
    }

    /** Moves time forward by `ms`, firing every timer that falls due on the way. */
    public advance(ms: number): void {
        this.advanceTo(this.currentTime + ms);
    }

    /** Moves time forward to `time`, firing every timer that falls due on the way. */
    public advanceTo(time: number): void {
        let timer = this.heap[0];
        while (timer !== undefined && timer.dueTime <= time) {
            this.removeFirst();
            if (!timer.cancelled) {
                this.currentTime = Math.max(this.currentTime, timer.dueTime);
                timer.listener();
            }
            timer = this.heap[0];
        }
        this.currentTime = Math.max(this.currentTime, time);
    }

    private insert(timer: Timer): void {
        const heap = this.heap;
        let index = heap.push(timer) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.isBefore(heap[index]!, heap[parent]!)) return;
            this.swap(index, parent);
            index = parent;
        }
    }

    private removeFirst(): void {
        const heap = this.heap;
        const last = heap.pop()!;
        if (heap.length === 0) return;
        heap[0] = last;
        let index = 0;
        for (;;) {
            const child = this.findEarlierChild(index);
            if (child === undefined || !this.isBefore(heap[child]!, heap[index]!)) return;
            this.swap(index, child);
            index = child;
        }
    }

    private findEarlierChild(index: number): number | undefined {
        const left = 2 * index + 1;
        if (left >= this.heap.length) return undefined;
        const right = left + 1;
        return right < this.heap.length && this.isBefore(this.heap[right]!, this.heap[left]!) ? right : left;
    }

    private isBefore(first: Timer, second: Timer): boolean {
        return first.dueTime < second.dueTime || (first.dueTime === second.dueTime && first.sequence < second.sequence);
    }

    private swap(first: number, second: number): void {
        const timer = this.heap[first]!;
        this.heap[first] = this.heap[second]!;
        this.heap[second] = timer;
    }
}
