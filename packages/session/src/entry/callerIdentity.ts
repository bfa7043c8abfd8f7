import { Operation } from "@vanillarouter/base/operation";
import { ClusterState } from "../cluster/clusterState";
import { computeKeyDigest } from "../model/computeKeyDigest";
import { RoutingConfiguration } from "../model/routingConfiguration";

/**
 * Decides whether a caller may use its database, and for which tenant, by the configuration in force. Every operation asks, and keys
 * change rarely, so the decision is kept until another configuration is in force.
 */
export class CallerIdentity {
    private configuration: RoutingConfiguration | undefined;
    private currentTenant: string | undefined;
    private isCurrentlyPermitted = false;

    private constructor(private readonly cluster: ClusterState, private readonly database: string, private readonly keyDigest: string | undefined) {}

    /** `credential` is the key that the caller sent at login. Only its digest is kept. */
    public static create(cluster: ClusterState, database: string, credential: string | undefined): CallerIdentity {
        return new CallerIdentity(cluster, database, credential === undefined ? undefined : computeKeyDigest(credential));
    }

    /** Whether the caller may start an operation. */
    public get isPermitted(): boolean {
        this.refresh();
        return this.isCurrentlyPermitted;
    }

    /** Name of the tenant that holds the caller's key; undefined if there is none or callers are not authenticated. */
    public get tenant(): string | undefined {
        this.refresh();
        return this.currentTenant;
    }

    /**
     * Whether an operation that began for `tenant` may go on. It may not if the tenant no longer holds the key, even if another tenant
     * does or the database is public.
     */
    public mayContinue(tenant: string | undefined): boolean {
        if (!this.isPermitted) return false;
        return tenant === undefined || tenant === this.currentTenant || this.configuration?.tenants === undefined;
    }

    /** Waits until an operation that began for `tenant` may not go on. */
    public *waitForEnd(tenant: string | undefined): Operation<void> {
        while (this.mayContinue(tenant)) yield* this.cluster.configurationChanged.wait();
    }

    /** Waits until the caller may start no operation. */
    public *waitForWithdrawal(): Operation<void> {
        yield* this.waitForEnd(undefined);
    }

    private refresh(): void {
        const { configuration } = this.cluster;
        if (configuration === this.configuration) return;
        this.configuration = configuration;
        const tenant = this.keyDigest === undefined ? undefined : configuration?.tenants?.findByDigest(this.keyDigest);
        this.currentTenant = tenant?.name;
        this.isCurrentlyPermitted = configuration !== undefined
            && (configuration.tenants === undefined || tenant !== undefined || configuration.publicDatabases?.has(this.database) === true);
    }
}
