import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";
import { formatDiagnostic } from "@vanillarouter/base/formatDiagnostic";
import { ErrorKind } from "../model/errorKind";
import { StatementOutcome } from "./statementOutcome";

/** Makes the outcome of a statement that failed, with a numbered text. */
export function failStatement(error: ErrorKind, diagnostic: DiagnosticMessage, ...args: readonly (string | number)[]): StatementOutcome {
    return { rows: [], receipt: undefined, error, text: `[vr-${diagnostic.code}] ${formatDiagnostic(diagnostic, args)}` };
}
