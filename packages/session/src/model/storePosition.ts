/**
 * A point in the history of the platform's store. A store that comes back from a backup has lost its latest changes and gives out their
 * revisions again, so revisions are comparable within an era only.
 */
export interface StorePosition {
    /** Number of the store's history. It increases each time the store comes back from a backup; zero if the store does not name it. */
    readonly era: number;
    /** Number of the latest change within the era. */
    readonly revision: number;
}
