/** Limits the number of statements executed at a time. Further statements wait in the order of their arrival. */
export class SlotPool {
    private freeSlots: number;
    private readonly waiting: (() => void)[] = [];

    private constructor(slots: number) {
        this.freeSlots = slots;
    }

    public static create(slots: number): SlotPool {
        return new SlotPool(slots);
    }

    public get waitingCount(): number {
        return this.waiting.length;
    }

    public async acquire(): Promise<void> {
        if (this.freeSlots > 0) {
            this.freeSlots--;
            return;
        }
        await new Promise<void>(resolve => this.waiting.push(resolve));
    }

    public release(): void {
        const next = this.waiting.shift();
        if (next === undefined) this.freeSlots++;
        else next();
    }
}
