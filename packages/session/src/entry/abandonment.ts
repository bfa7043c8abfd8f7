import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";

/**
 * Says whether the caller of an operation has left.
 *
 * It answers callers that leave before their time limit and return: work that waits for them is dropped, so that it neither takes a slot nor
 * delays others. What has been sent to an upstream is not affected.
 */
export class Abandonment {
    private hasLeft = false;
    private readonly left = Signal.create<void>();

    private constructor() {}

    public static create(): Abandonment {
        return new Abandonment();
    }

    public get isAbandoned(): boolean {
        return this.hasLeft;
    }

    public abandon(): void {
        if (this.hasLeft) return;
        this.hasLeft = true;
        this.left.notifyAll();
    }

    /** Waits until the caller has left. */
    public *wait(): Operation<undefined> {
        if (!this.hasLeft) yield* this.left.wait();
        return undefined;
    }
}
