import { DiagnosticMessage } from "./diagnosticMessage";
import { Failure } from "./failure";
import { formatDiagnostic } from "./formatDiagnostic";
import { RunOutcome } from "./runOutcome";

/** Creates a failure from a diagnostic and the arguments for its text. */
export function createFailure(diagnostic: DiagnosticMessage, outcome: RunOutcome, ...args: readonly (string | number)[]): Failure {
    return { code: diagnostic.code, message: formatDiagnostic(diagnostic, args), outcome };
}
