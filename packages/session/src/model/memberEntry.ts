/** A VM in the cluster's member list. */
export interface MemberEntry {
    readonly id: string;
    readonly zone: string;
    /** Address (host:port) at which other VMs relay work to this one; undefined if it accepts no relayed work. */
    readonly relayAddress: string | undefined;
    /** Processor capacity, where 1 is one whole core of the reference speed. */
    readonly capacity: number;
    /** Whether the VM is about to stop and accepts no new work. */
    readonly isLeaving: boolean;
    /** Whether the VM has been listed for so long that it keeps quotas; undefined if not. */
    readonly isSettled?: boolean;
}
