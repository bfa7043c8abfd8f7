/** Limits the statements executed at a time. Others wait in the order of their arrival. */
export class SlotPool {
    private free: number;
    private readonly waiting: (() => void)[] = [];

    private constructor(slots: number) {
        this.free = slots;
    }

    public static create(slots: number): SlotPool {
        return new SlotPool(slots);
    }

    public get waitingCount(): number {
        return this.waiting.length;
    }

    public async acquire(): Promise<void> {
        if (this.free > 0) {
            this.free--;
            return;
        }
        await new Promise<void>(resolve => this.waiting.push(resolve));
    }

    public release(): void {
        const next = this.waiting.shift();
        if (next === undefined) this.free++;
        else next();
    }
}
