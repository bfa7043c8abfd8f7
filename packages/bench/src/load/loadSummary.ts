import { ClassSummary } from "./classSummary";

/** The result of a load in all and by class. */
export interface LoadSummary extends Omit<ClassSummary, "rank" | "withinTarget"> {
    readonly requestsPerSecond: number;
    readonly classes: Readonly<Record<string, ClassSummary>>;
    /** Some of the errors, with how often each came. */
    readonly errors: Readonly<Record<string, number>>;
}
