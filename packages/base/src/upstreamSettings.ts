/** One upstream of a database group. */
export interface UpstreamSettings {
    readonly id: string;
    readonly zone: string;
    readonly host: string;
    readonly port: number;
    /** Statements that it executes at a time. */
    readonly slots: number;
    /** Connections that it accepts, from all VMs together. */
    readonly maxConnections: number;
    /** Whether operators are taking it out of service; it then gets no new work. */
    readonly leaving?: boolean;
}
