import { DiagnosticMessage } from "./diagnosticMessage";

/** Creates a diagnostic from a result code, its text and the remedy. */
export function createDiagnostic(code: number, text: string, remedy: string): DiagnosticMessage {
    return { code, text, remedy };
}
