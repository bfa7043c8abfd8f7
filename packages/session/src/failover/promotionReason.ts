/** Reasons for replacing the primary of a group. */
export enum PromotionReason {
    NoPrimary = "no primary answers",
    /** An unfinished promotion left replicas fenced. */
    Fenced = "a replica is fenced",
    Leaving = "the primary is leaving",
}
