import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";
import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1800 to 1899. */
export const Diagnostics = {
    noPrimary: createDiagnostic(1800, "no primary is known for {0}", "Retry; a new primary is promoted within seconds."),
    overloaded: createDiagnostic(1801, "no upstream had room in time; retry after {0} ms", "Retry after the stated time, or add capacity."),
    notFreshEnough: createDiagnostic(1802, "no upstream is proven fresh enough", "Retry; check the replication lag in the log."),
    outcomeUnknown: createDiagnostic(1803, "the statement may have run", "Read the data before repeating the statement."),
    transactionLost: createDiagnostic(1804, "the transaction was rolled back: {0}", "Repeat the whole transaction."),
    noSuchDatabase: createDiagnostic(1805, "no class of work is configured under this name", "Add the class or correct the name."),
    malformedStatement: createDiagnostic(1806, "the statement cannot be read", "Correct the statement."),
    noSuchStatement: createDiagnostic(1807, "no prepared statement has this name", "Prepare it on this connection."),
    shuttingDown: createDiagnostic(1808, "the VM is shutting down", "Reconnect; the statement did not run."),
    transactionFailed: createDiagnostic(1809, "the transaction has failed; end it", "Send ROLLBACK."),
    notConfigured: createDiagnostic(1811, "the VM has no configuration yet", "Reconnect; another VM may be configured."),
    noGateway: createDiagnostic(1812, "no VM with connections to {0} could be reached", "Reconnect; another VM may be able to reach one."),
    addressNotBound: createDiagnostic(1813, "cannot listen on {0}: {1}", "Check the address in the settings and that no other process uses the port."),
    keyNotAccepted: createDiagnostic(1820, "the key gives no access to this database", "Log in with a current key of the tenant; nothing ran."),
    quotaExceeded: createDiagnostic(1821, "the tenant is above its limit; retry after {0} ms", "Retry after the stated time, or raise the tenant's limit."),
    upstreamFailed: createDiagnostic(1810, "the upstream answered: {0}", "See the log of the upstream."),
    callerLeft: createDiagnostic(1830, "the caller closed its connection before the statement was sent", "Nothing; the statement did not run."),
} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
