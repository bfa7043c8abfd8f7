import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";

/** Result codes 1650 to 1699. */
export const Diagnostics = {
    usageInvalid: createDiagnostic(1650, "{0}", "Run vanillarouterd --help."),
    addressNotBound: createDiagnostic(1651, "cannot listen on {0}:{1}: {2}", "Check the address and that no other process uses the port."),
    notReadyYet: createDiagnostic(1652, "not ready: {0}", "Check that the platform or a seed VM is reachable; the daemon keeps retrying."),
    unexpectedError: createDiagnostic(1653, "unexpected error outside a connection: {0}", "Report it with the log record; the daemon continues to serve."),
    drainIncomplete: createDiagnostic(
        1654,
        "{0} caller connections were still in use after {1} ms and were ended",
        "Raise shutdown.timeoutMs if transactions take longer.",
    ),
} as const;
