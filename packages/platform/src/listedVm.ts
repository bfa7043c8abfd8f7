/** A VM in the platform's list of VMs. */
export interface ListedVm {
    readonly id: string;
    readonly zone: string;
    readonly host: string;
    readonly heartbeatPort: number;
    readonly linkPort: number;
    readonly leaving: boolean;
}
