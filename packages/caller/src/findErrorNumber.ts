import { Failure } from "@vanillarouter/base/failure";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { mysqlErrorNumbers } from "./mysqlErrorNumbers";

const maxErrorNumber = 0xffff;

/** Returns the MySQL error number for a failure. If an upstream rejected the statement, returns the upstream's error number. */
export function findErrorNumber(failure: Failure): number {
    const { errno } = (failure.details ?? {}) as { readonly errno?: unknown; };
    const isUpstreamError = failure.code === RoutingDiagnostics.statementRejected.code && typeof errno === "number";
    if (isUpstreamError && errno > 0 && errno <= maxErrorNumber) return errno;
    return mysqlErrorNumbers.byCode.get(failure.code) ?? mysqlErrorNumbers.unknownError;
}
