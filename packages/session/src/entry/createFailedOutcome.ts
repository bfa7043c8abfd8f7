import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";
import { formatDiagnostic } from "@vanillarouter/base/formatDiagnostic";
import { ErrorKind } from "../model/errorKind";
import { StatementOutcome } from "./statementOutcome";

/** Creates the outcome of a failed statement. Its text starts with the result code of the diagnostic. */
export function createFailedOutcome(error: ErrorKind, diagnostic: DiagnosticMessage, ...args: readonly (string | number)[]): StatementOutcome {
    return { rows: [], receipt: undefined, error, text: `[vr-${diagnostic.code}] ${formatDiagnostic(diagnostic, args)}` };
}
