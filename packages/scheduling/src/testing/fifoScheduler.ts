import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { Ok, Result } from "ts-results";
import { SlotRequest } from "../slotRequest";
import { StatementScheduler } from "../statementScheduler";

/** A FIFO scheduler with an unbounded queue, the baseline for `SlotScheduler`. */
export class FifoScheduler implements StatementScheduler {
    private running = 0;
    private readonly waiting = new Set<Signal<void>>();

    private constructor(private readonly slots: number) {}

    public static create(slots: number): FifoScheduler {
        return new FifoScheduler(slots);
    }

    public *run<T>(req: SlotRequest, operation: () => Operation<T>): Operation<Result<T, Failure>> {
        while (this.running >= this.slots) yield* this.waitForSlot();
        this.running++;
        try {
            return Ok(yield* operation());
        }
        finally {
            this.running--;
            this.wakeNext();
        }
    }

    private *waitForSlot(): Operation<void> {
        const slotAvailable = Signal.create<void>();
        this.waiting.add(slotAvailable);
        yield* slotAvailable.wait();
    }

    private wakeNext(): void {
        for (const slotAvailable of this.waiting) {
            this.waiting.delete(slotAvailable);
            slotAvailable.notifyAll();
            return;
        }
    }
}
