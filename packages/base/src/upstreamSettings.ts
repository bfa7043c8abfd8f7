/** One upstream of a database group. */
export interface UpstreamSettings {
    readonly id: string;
    readonly zone: string;
    readonly host: string;
    readonly port: number;
    /** Number of statements that the upstream executes concurrently. */
    readonly slots: number;
    /** Number of connections that the upstream accepts from all VMs together. */
    readonly maxConnections: number;
    /** Whether operators are taking the upstream out of service; it then receives no new work. */
    readonly leaving?: boolean;
}
