import { SeedAddress } from "./seedAddress";
import { TlsSettings } from "./tlsSettings";

/** What a VM knows of itself from its settings. */
export interface NodeSettings {
    readonly id: string;
    readonly zone: string;
    /** IP address that other VMs reach it by, and that it listens on. */
    readonly host: string;
    /** Port of heartbeats; 0 picks a free one. */
    readonly heartbeatPort: number;
    /** Port of links; 0 picks a free one. */
    readonly linkPort: number;
    /** Secret shared by all VMs of the cluster. */
    readonly clusterKey: string;
    readonly tls: TlsSettings;
    /** Other VMs to join through, besides those of the platform's list. */
    readonly seeds: readonly SeedAddress[];
    /** Must rise with each start of the VM under the same id, such as the start time in seconds since the Unix epoch. */
    readonly incarnation: number;
}
