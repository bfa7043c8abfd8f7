/** The output of a command. */
export interface CommandOutput {
    /** Printed as JSON with --json. */
    readonly value: unknown;
    /** Printed without --json. */
    readonly text: string;
}
