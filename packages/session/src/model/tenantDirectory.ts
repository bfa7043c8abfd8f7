import { createHash } from "node:crypto";
import { Tenant } from "./tenant";

/**
 * Keys are looked up by their digests, so the time of a lookup tells nothing about similar keys, and no VM keeps a key longer than
 * its configuration's text.
 */
function computeDigest(key: string): string {
    return createHash("sha256").update(key).digest("base64");
}

/** The tenants of one configuration, by name and by key. */
export class TenantDirectory {
    private readonly tenantsByName = new Map<string, Tenant>();
    private readonly tenantsByDigest = new Map<string, Tenant>();

    private constructor() {}

    /** A key that several tenants list identifies the last of them. */
    public static create(entries: readonly { readonly tenant: Tenant; readonly keys: readonly string[]; }[]): TenantDirectory {
        const directory = new TenantDirectory();
        for (const { tenant, keys } of entries) {
            directory.tenantsByName.set(tenant.name, tenant);
            for (const key of keys) directory.tenantsByDigest.set(computeDigest(key), tenant);
        }
        return directory;
    }

    /** Returns the tenant that holds a key. */
    public findByKey(key: string): Tenant | undefined {
        return this.tenantsByDigest.get(computeDigest(key));
    }

    public find(name: string): Tenant | undefined {
        return this.tenantsByName.get(name);
    }
}
