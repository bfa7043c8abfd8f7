import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";

/** Waits until enough replicas hold a log entry under its term, or too many have rejected it. */
export class ConfirmationWait {
    private confirmed = 0;
    private rejected = 0;
    private wake: () => void = () => {};

    private constructor(public readonly entry: LogPosition, private readonly requiredReplicas: number, private readonly replicaCount: number) {}

    public static create(entry: LogPosition, requiredReplicas: number, replicaCount: number): ConfirmationWait {
        return new ConfirmationWait(entry, requiredReplicas, replicaCount);
    }

    public confirm(): void {
        this.confirmed++;
        this.wake();
    }

    public reject(): void {
        this.rejected++;
        this.wake();
    }

    /** Whether enough replicas hold the log entry; undefined while this is undecided. */
    public get isConfirmed(): boolean | undefined {
        if (this.confirmed >= this.requiredReplicas) return true;
        return this.replicaCount - this.rejected < this.requiredReplicas ? false : undefined;
    }

    /** Waits until `isConfirmed` is decided and returns it. */
    public *wait(): Operation<boolean> {
        for (;;) {
            const isConfirmed = this.isConfirmed;
            if (isConfirmed !== undefined) return isConfirmed;
            yield* perform<void>({
                start: resume => {
                    this.wake = resume;
                    return () => {
                        this.wake = () => {};
                    };
                },
            });
        }
    }
}
