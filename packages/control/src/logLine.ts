/** One decoded line of a VM's log. */
export interface LogLine {
    /** File, and what stood before the line's time, such as the name of the VM. */
    readonly source: string;
    readonly timeMs: number;
    readonly event: string;
    readonly fields: ReadonlyMap<string, string>;
}
