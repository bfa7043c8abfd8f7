/** A VM of the system, as other VMs know it. */
export interface VmDescription {
    readonly id: string;
    readonly zone: string;
    readonly host: string;
    /** Port of UDP heartbeats. */
    readonly heartbeatPort: number;
    /** Port of the link between VMs. */
    readonly linkPort: number;
    /** Rises each time the VM restarts or refutes a suspicion. */
    readonly incarnation: number;
    /** Whether it is shutting down and takes no new work. */
    readonly leaving: boolean;
}
