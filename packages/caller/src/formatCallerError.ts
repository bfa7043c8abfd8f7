import { Failure } from "@vanillarouter/base/failure";

/** Formats a failure for callers: result code, message, and what is known about the execution. */
export function formatCallerError(failure: Failure): string {
    return `[vr-${failure.code}] ${failure.message} (${failure.outcome})`;
}
