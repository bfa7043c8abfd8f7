/** A command received from a caller and queued for execution. */
export interface CallerCommand {
    /** Command byte of the MySQL protocol. */
    readonly code: number;
    /** The statement of a query command or the database name of an init-database command; empty for other commands. */
    readonly text: string;
    /** Arrival time on the VM's clock, in milliseconds. */
    readonly arrivedAt: number;
    /** Length of the packet in bytes. */
    readonly bytes: number;
    /** Whether the packet exceeded the size limit; `text` is empty then. */
    readonly isTooLarge: boolean;
}
