import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { OwnerHost } from "@vanillarouter/routing/ownerHost";
import { VmNode } from "@vanillarouter/vm/vmNode";

/** Keeps the owners of a VM in line with its roles and the configuration. */
export class OwnerRoles {
    /** Settings that each running owner was started with, as JSON. */
    private started: ReadonlyMap<string, string> = new Map();

    private constructor(private readonly node: VmNode, private readonly host: OwnerHost) {}

    public static create(node: VmNode, host: OwnerHost): OwnerRoles {
        return new OwnerRoles(node, host);
    }

    /** An owner whose upstream has a new address or size is replaced; the old one finishes what it has begun. */
    public update(): void {
        const owned = this.node.owners.listOwned();
        const wanted = new Map(owned.map(upstream => [upstream.id, describe(upstream)]));
        const unchanged = [...wanted].filter(([id, text]) => (this.started.get(id) ?? text) === text).map(([id]) => id);
        if (unchanged.length < wanted.size) this.host.setOwned(unchanged);
        this.host.setOwned([...wanted.keys()]);
        this.started = wanted;
    }
}

/** Leaving does not restart an owner; it is looked up for each request. */
function describe(upstream: UpstreamSettings): string {
    return JSON.stringify({ ...upstream, leaving: undefined });
}
