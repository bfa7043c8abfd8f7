/** The number of slots that a scheduler may use at once. It is shared by the scheduler's parts and changes at runtime. */
export class SlotCount {
    private constructor(private current: number) {}

    public static create(count: number): SlotCount {
        return new SlotCount(count);
    }

    public get count(): number {
        return this.current;
    }

    public set(count: number): void {
        this.current = count;
    }
}
