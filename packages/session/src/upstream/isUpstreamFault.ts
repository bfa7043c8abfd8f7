import { ErrorKind } from "../model/errorKind";

const upstreamFaults: ReadonlySet<ErrorKind> = new Set([ErrorKind.Failed, ErrorKind.TimedOut, ErrorKind.Other]);

/** Whether an upstream's response says that it failed a statement that it could have run. */
export function isUpstreamFault(error: ErrorKind | undefined): boolean {
    return error !== undefined && upstreamFaults.has(error);
}
