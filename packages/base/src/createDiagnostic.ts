import { DiagnosticMessage } from "./diagnosticMessage";

/** Makes one row of a diagnostics table. */
export function createDiagnostic(code: number, text: string, remedy: string): DiagnosticMessage {
    return { code, text, remedy };
}
