/** A command of a caller that waits for its turn. */
export interface CallerCommand {
    /** Command byte of the MySQL protocol. */
    readonly code: number;
    /** Text of the command: statement or database name. */
    readonly text: string;
    /** Arrival time on the VM's clock, in milliseconds. */
    readonly arrivedAt: number;
    /** Set instead of the text if the packet was larger than allowed. */
    readonly isTooLarge: boolean;
}
