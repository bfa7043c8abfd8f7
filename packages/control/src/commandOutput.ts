/** What a command prints. */
export interface CommandOutput {
    /** Printed with --json. */
    readonly value: unknown;
    /** Printed otherwise. */
    readonly text: string;
}
