/** One row of a diagnostics table: a numbered result code and its text, in which `{0}`, `{1}` stand for arguments. */
export interface DiagnosticMessage {
    readonly code: number;
    readonly text: string;
    /** What an operator or caller can do about it. Printed in docs/errors.md. */
    readonly remedy: string;
}
