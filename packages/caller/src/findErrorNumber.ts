import { Failure } from "@vanillarouter/base/failure";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { mysqlErrorNumbers } from "./mysqlErrorNumbers";

const largestErrorNumber = 0xffff;

/** Returns the MySQL error number of a failure. A statement that an upstream rejected keeps the upstream's number. */
export function findErrorNumber(failure: Failure): number {
    const { errno } = (failure.details ?? {}) as { readonly errno?: unknown; };
    const isOfUpstream = failure.code === RoutingDiagnostics.statementRejected.code && typeof errno === "number";
    if (isOfUpstream && errno > 0 && errno <= largestErrorNumber) return errno;
    return mysqlErrorNumbers.byCode.get(failure.code) ?? mysqlErrorNumbers.unknownError;
}
