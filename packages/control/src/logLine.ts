/** A parsed line of a VM's log. */
export interface LogLine {
    /**
     * Where the line comes from: the file name, if several files are read, followed by the word in front of the time field, such as
     * the VM name that a log collector adds.
     */
    readonly source: string;
    readonly timeMs: number;
    readonly event: string;
    readonly fields: ReadonlyMap<string, string>;
}
