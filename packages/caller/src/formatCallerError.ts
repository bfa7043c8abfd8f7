import { Failure } from "@vanillarouter/base/failure";

/** Text of a failure as callers get it: the numbered code, the message and what is known of the execution. */
export function formatCallerError(failure: Failure): string {
    return `[vr-${failure.code}] ${failure.message} (${failure.outcome})`;
}
