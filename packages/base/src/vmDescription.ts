/** A VM of the system, as other VMs know it. */
export interface VmDescription {
    readonly id: string;
    readonly zone: string;
    readonly host: string;
    /** UDP port for heartbeats. */
    readonly heartbeatPort: number;
    /** TCP port for links between VMs. */
    readonly linkPort: number;
    /** Increases each time the VM restarts or refutes a suspicion. */
    readonly incarnation: number;
    /** Whether the VM is shutting down and accepts no new work. */
    readonly leaving: boolean;
}
