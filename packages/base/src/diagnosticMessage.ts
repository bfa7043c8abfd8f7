/** A result code and its text, in which `{0}` and `{1}` are placeholders for arguments. */
export interface DiagnosticMessage {
    readonly code: number;
    readonly text: string;
    /** What an operator or caller can do about it. Printed in docs/errors.md. */
    readonly remedy: string;
}
