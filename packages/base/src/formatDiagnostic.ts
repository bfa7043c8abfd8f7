import { DiagnosticMessage } from "./diagnosticMessage";

/** Replaces `{0}`, `{1}` and so on in the text of a diagnostic. A placeholder without an argument is left unchanged. */
export function formatDiagnostic(diagnostic: DiagnosticMessage, args: readonly (string | number)[]): string {
    return diagnostic.text.replace(/\{(\d+)\}/g, (placeholder, index: string) => String(args[Number(index)] ?? placeholder));
}
