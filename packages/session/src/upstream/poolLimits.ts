/** Limits of this VM at the upstreams of one service. They change with the members of the cluster. */
export interface PoolLimits {
    /** Returns how many connections this VM may hold to each upstream. */
    getConnectionLimit(): number;
    /** Returns how many VMs use the upstreams' slots. */
    getGatewayCount(): number;
    /** Whether the configuration has tenants, so that connections belong to tenants. */
    hasTenants(): boolean;
}
