import { SeedAddress } from "./seedAddress";
import { TlsSettings } from "./tlsSettings";

/** Settings of one VM. */
export interface NodeSettings {
    readonly id: string;
    readonly zone: string;
    /** IP address on which the VM listens and at which other VMs reach it. */
    readonly host: string;
    /** UDP port for heartbeats; 0 selects a free one. */
    readonly heartbeatPort: number;
    /** TCP port for links; 0 selects a free one. */
    readonly linkPort: number;
    /** Secret shared by all VMs of the cluster. */
    readonly clusterKey: string;
    readonly tls: TlsSettings;
    /** VMs through which to join, in addition to those in the platform's list. */
    readonly seeds: readonly SeedAddress[];
    /** Must increase with each start of the VM under the same id; for example, the start time in seconds since the Unix epoch. */
    readonly incarnation: number;
}
