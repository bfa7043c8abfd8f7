/** Settings of a database group. */
export interface ServiceSettings {
    readonly name: string;
    /** Connections that each upstream accepts from all VMs together. */
    readonly maxConnections: number;
}
