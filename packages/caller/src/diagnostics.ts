import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";

/** Result codes 1100 to 1199. */
export const Diagnostics = {
    accessDenied: createDiagnostic(
        1100,
        "access denied for user {0}",
        "Check the user name and password; the authentication method must be mysql_native_password.",
    ),
    loginTimedOut: createDiagnostic(1101, "no login within {0} ms", "Send the login packet immediately after connecting."),
    tooManyConnections: createDiagnostic(1102, "this VM already serves {0} connections", "Connect again; the load balancer selects another VM."),
    packetOutOfOrder: createDiagnostic(1103, "packet number {0} received where {1} was expected", "Use a client that follows the MySQL protocol."),
    statementTooLarge: createDiagnostic(1104, "the packet is larger than {0} bytes", "Send a smaller statement, or raise caller.maxStatementBytes."),
    malformedHint: createDiagnostic(1105, "malformed hint: {0}", "Use the hint syntax described in docs/operators.md, for example /*vr class=orders once*/."),
    unsupportedCommand: createDiagnostic(1106, "protocol command {0} is not supported", "Use the text protocol; docs/operators.md lists the supported subset."),
    unsupportedStatement: createDiagnostic(1107, "statement is not supported: {0}", "Rewrite the statement; docs/operators.md lists the supported subset."),
    malformedLogin: createDiagnostic(1108, "the login packet is malformed", "Use a client that follows the MySQL 4.1 protocol or later."),
    unsupportedCharacterSet: createDiagnostic(1109, "character set {0} is not supported", "Use utf8mb4, utf8, ascii or latin1."),
    noDatabaseSelected: createDiagnostic(1110, "no database is selected", "Specify a database when connecting, or select one with USE."),
    tooManyPending: createDiagnostic(
        1111,
        "more than {0} commands were sent without reading their answers",
        "Wait for each answer before sending the next command.",
    ),
    shuttingDown: createDiagnostic(1112, "this VM is shutting down", "Connect again; the load balancer selects another VM."),
    unknownVariable: createDiagnostic(1113, "unknown variable {0}", "docs/operators.md lists the supported variables."),
    connectionTaskFailed: createDiagnostic(
        1114,
        "internal error on this connection: {0}",
        "Report it together with the daemon's log record that has the same code.",
    ),
} as const;
