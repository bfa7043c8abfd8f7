import { ReadCandidate } from "./readCandidate";

/** Returns the log fields for the inputs of a choice of an upstream, with the age of the latest status. */
export function describeChoice(choice: ReadCandidate): Readonly<Record<string, unknown>> {
    return {
        inFlight: choice.ownInFlight,
        othersBusy: Number(choice.expectedOthersBusy.toFixed(2)),
        newsAgeMs: choice.newsAgeMs === undefined ? undefined : Math.round(choice.newsAgeMs),
        responseMs: Math.round(choice.responseMs),
        failedPart: Number(choice.failedPart.toFixed(2)),
        readiness: Number(choice.readiness.toFixed(2)),
    };
}
