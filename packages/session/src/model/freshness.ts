/** Consistency level of a class of work: which commits its reads must see. */
export enum Freshness {
    /** Every acknowledged commit. */
    Latest = "latest",
    /** Every commit older than the class's maximum age. */
    BoundedAge = "bounded age",
    /** Every commit of the session itself, and other sessions' commits older than the class's maximum age. */
    OwnWrites = "own writes",
}
