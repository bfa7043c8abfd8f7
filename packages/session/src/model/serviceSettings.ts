/** Settings of a database group. */
export interface ServiceSettings {
    readonly name: string;
    /** Connection limit of each upstream, shared by all VMs. */
    readonly maxConnections: number;
}
