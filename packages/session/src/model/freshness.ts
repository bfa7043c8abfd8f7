/** Which commits the reads of a class must see. */
export enum Freshness {
    /** Every acknowledged commit. */
    Latest,
    /** Commits older than the class's maximum age. */
    BoundedAge,
    /** Commits of the session, and others older than the class's maximum age. */
    OwnWrites,
}
