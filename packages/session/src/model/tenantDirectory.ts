import { computeKeyDigest } from "./computeKeyDigest";
import { Tenant } from "./tenant";

/** The tenants of one configuration, by name and by key. Keys are kept only as digests. */
export class TenantDirectory {
    private readonly tenantsByName = new Map<string, Tenant>();
    private readonly tenantsByDigest = new Map<string, Tenant>();

    private constructor() {}

    /** A key that several tenants list identifies the last of them. */
    public static create(entries: readonly { readonly tenant: Tenant; readonly keys: readonly string[]; }[]): TenantDirectory {
        const directory = new TenantDirectory();
        for (const { tenant, keys } of entries) {
            directory.tenantsByName.set(tenant.name, tenant);
            for (const key of keys) directory.tenantsByDigest.set(computeKeyDigest(key), tenant);
        }
        return directory;
    }

    /** Number of tenants. */
    public get size(): number {
        return this.tenantsByName.size;
    }

    /** Returns the tenant that holds a key. */
    public findByKey(key: string): Tenant | undefined {
        return this.findByDigest(computeKeyDigest(key));
    }

    /** Returns the tenant that holds the key with this digest. */
    public findByDigest(digest: string): Tenant | undefined {
        return this.tenantsByDigest.get(digest);
    }

    public find(name: string): Tenant | undefined {
        return this.tenantsByName.get(name);
    }
}
