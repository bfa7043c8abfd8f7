import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";

/** One wait for enough replicas to hold an entry under its term. */
export class ConfirmationWait {
    private confirmed = 0;
    private rejected = 0;
    private wake: () => void = () => {};

    private constructor(public readonly entry: LogPosition, private readonly needed: number, private readonly replicas: number) {}

    public static create(entry: LogPosition, needed: number, replicas: number): ConfirmationWait {
        return new ConfirmationWait(entry, needed, replicas);
    }

    public confirm(): void {
        this.confirmed++;
        this.wake();
    }

    public reject(): void {
        this.rejected++;
        this.wake();
    }

    /** Whether enough replicas hold the entry; undefined while that is open. */
    public get verdict(): boolean | undefined {
        if (this.confirmed >= this.needed) return true;
        return this.replicas - this.rejected < this.needed ? false : undefined;
    }

    /** Waits for the verdict. */
    public *wait(): Operation<boolean> {
        for (;;) {
            const verdict = this.verdict;
            if (verdict !== undefined) return verdict;
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
