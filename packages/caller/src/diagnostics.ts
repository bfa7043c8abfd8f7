import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

function message(code: number, text: string, remedy: string): DiagnosticMessage {
    return { code, text, remedy };
}

/** Result codes 1100 to 1199. */
export const Diagnostics = {
    accessDenied: message(1100, "access denied for user {0}", "Check user and password; the method is mysql_native_password."),
    loginTimedOut: message(1101, "no login within {0} ms", "Log in right after connecting."),
    tooManyConnections: message(1102, "this VM already serves {0} connections", "Connect again; the load balancer selects another VM."),
    packetOutOfOrder: message(1103, "packet number {0} received where {1} was expected", "Use a client that follows the MySQL protocol."),
    statementTooLarge: message(1104, "the packet is larger than {0} bytes", "Send a smaller statement, or raise caller.maxStatementBytes."),
    malformedHint: message(1105, "malformed hint: {0}", "Write hints as in docs/operators.md, for example /*vr class=orders once*/."),
    unsupportedCommand: message(1106, "protocol command {0} is not supported", "Use text statements; docs/operators.md lists the supported subset."),
    unsupportedStatement: message(1107, "statement is not supported: {0}", "Rewrite it; docs/operators.md lists the supported subset."),
    malformedLogin: message(1108, "the login packet is malformed", "Use a client that follows the MySQL 4.1 protocol or later."),
    unsupportedCharacterSet: message(1109, "character set {0} is not supported", "Use utf8mb4, utf8, ascii or latin1."),
    noDatabaseSelected: message(1110, "no database is selected", "Name a database when connecting, or select one with USE."),
    tooManyPending: message(1111, "more than {0} commands were sent without reading their answers", "Wait for each answer before the next command."),
    shuttingDown: message(1112, "this VM is shutting down", "Connect again; the load balancer selects another VM."),
    unknownVariable: message(1113, "unknown variable {0}", "docs/operators.md lists the variables."),
    connectionTaskFailed: message(1114, "internal error on this connection: {0}", "Report it with the daemon's log line of the same code."),
} as const;
