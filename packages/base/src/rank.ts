/** The ranks of classes of work, most urgent first. */
export enum Rank {
    Urgent = "urgent",
    Standard = "standard",
    Background = "background",
}
