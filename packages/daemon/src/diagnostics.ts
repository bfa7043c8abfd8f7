import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

function message(code: number, text: string, remedy: string): DiagnosticMessage {
    return { code, text, remedy };
}

/** Result codes 1650 to 1699. */
export const Diagnostics = {
    usageInvalid: message(1650, "{0}", "Run vanillarouterd --help."),
    addressNotBound: message(1651, "cannot listen on {0}:{1}: {2}", "Check the address and that no other process uses the port."),
    notReadyYet: message(1652, "not ready: {0}", "Check that the platform or a seed VM is reachable; the daemon keeps trying."),
    unexpectedError: message(1653, "unexpected error outside a connection: {0}", "Report it with the log line; the daemon goes on serving."),
    drainIncomplete: message(
        1654,
        "{0} caller connections were still in use after {1} ms and were ended",
        "Raise shutdown.timeoutMs if transactions take longer.",
    ),
} as const;
