import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { UpstreamConnection } from "@vanillarouter/routing/group/upstreamConnection";
import { UpstreamConnector } from "@vanillarouter/routing/group/upstreamConnector";
import { UpstreamControl } from "@vanillarouter/routing/group/upstreamControl";
import { VmNode } from "@vanillarouter/vm/vmNode";
import { Result } from "ts-results";
import { ObservedUpstreamControl } from "./observedUpstreamControl";

/**
 * A connector that records on the node which upstreams report that they are leaving. Its controls reject calls that change a
 * group's primary or term while this VM may not use its roles.
 */
export class ObservedUpstreamConnector implements UpstreamConnector {
    private constructor(private readonly connector: UpstreamConnector, private readonly node: VmNode) {}

    public static create(connector: UpstreamConnector, node: VmNode): ObservedUpstreamConnector {
        return new ObservedUpstreamConnector(connector, node);
    }

    public connect(upstream: UpstreamSettings, timeoutMs: number): Operation<Result<UpstreamConnection, Failure>> {
        return this.connector.connect(upstream, timeoutMs);
    }

    public openControl(upstream: UpstreamSettings): UpstreamControl {
        return ObservedUpstreamControl.create(this.connector.openControl(upstream), {
            checkRoles: () => this.node.checkRoles(),
            onStatus: status => this.node.owners.recordLeaving(upstream.id, status.leaving),
        });
    }
}
