import { StoreChange } from "../model/storeChange";

/**
 * Revision of the last change applied to each key of the store, so that a change that is read again later does not undo a newer one.
 * A removed key keeps its revision until the store has been read without it.
 */
export class AppliedRevisions {
    private currentEra = 0;
    private readonly revisions = new Map<string, number>();

    private constructor() {}

    public static create(): AppliedRevisions {
        return new AppliedRevisions();
    }

    /** Era of the revisions. */
    public get era(): number {
        return this.currentEra;
    }

    /** Forgets all revisions if `era` is not the era that they belong to. Returns whether it was not. */
    public enterEra(era: number): boolean {
        if (era === this.currentEra) return false;
        this.currentEra = era;
        this.revisions.clear();
        return true;
    }

    public find(key: string): number | undefined {
        return this.revisions.get(key);
    }

    /** Records a change unless it is older than the last one of its key, or is that one. Returns whether it was recorded. */
    public record(change: StoreChange): boolean {
        const applied = this.revisions.get(change.key);
        if (applied !== undefined && change.revision <= applied) return false;
        this.revisions.set(change.key, change.revision);
        return true;
    }

    /** Forgets the keys that a complete read as of `revision` did not contain. The watch that follows does not repeat their older changes. */
    public forgetMissing(keys: ReadonlySet<string>, revision: number): void {
        for (const [key, applied] of this.revisions) {
            if (!keys.has(key) && applied <= revision) this.revisions.delete(key);
        }
    }
}
