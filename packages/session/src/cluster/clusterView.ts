import { MemberEntry } from "../model/memberEntry";
import { RoutingConfiguration } from "../model/routingConfiguration";
import { UpstreamEntry } from "../model/upstreamEntry";

/** What the choice of gateways needs to know of the cluster. */
export interface ClusterView {
    readonly vmId: string;
    /** A number that increases with every change of the configuration, the upstreams or the members. */
    readonly generation: number;
    /** A number that increases with every change of the members. */
    readonly memberGeneration: number;
    readonly configuration: RoutingConfiguration | undefined;
    /** The running VMs, including those that are leaving. */
    readonly memberList: readonly MemberEntry[];
    listUpstreams(service: string): readonly UpstreamEntry[];
}
