import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";
import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1300 to 1399. */
export const Diagnostics = {
    connectFailed: createDiagnostic(1300, "cannot connect to upstream {0} at {1}: {2}", "Check that the upstream is running and that its address is correct."),
    connectTimedOut: createDiagnostic(1301, "upstream {0} at {1} accepted no connection within {2} ms", "Check the upstream and the network."),
    tooManyConnections: createDiagnostic(1302, "upstream {0} has reached its connection limit", "Raise the limit of the upstream or lower `maxConnections`."),
    accessDenied: createDiagnostic(1303, "upstream {0} refused user {1}", "Correct the upstream user and password in the settings."),
    responseMalformed: createDiagnostic(
        1304,
        "upstream {0} gave an unexpected answer to {1}",
        "Check that the upstream implements the interface in docs/operators.md.",
    ),
    callTimedOut: createDiagnostic(1305, "upstream {0} did not answer {1} within {2} ms", "Retried by the caller of the operation."),
    connectionClosed: createDiagnostic(1306, "the connection to upstream {0} is closed", "Retried on another connection."),
    callRejected: createDiagnostic(1307, "upstream {0} rejected {1}: {2}", "Check that the upstream implements the interface in docs/operators.md."),
    majorityUnreachable: createDiagnostic(
        1320,
        "database group {0} has no primary: {1} of {2} upstreams are reachable and {3} are needed",
        "Restore an upstream or the network; the group gets a primary as soon as a majority is reachable.",
    ),
    termNotAccepted: createDiagnostic(1321, "term {1} of database group {0} was accepted by {2} upstreams and needs {3}", "Retried with a higher term."),
    promotionFailed: createDiagnostic(1322, "upstream {1} of database group {0} was not promoted in term {2}: {3}", "Retried with a higher term."),
} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
