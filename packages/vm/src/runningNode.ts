import { Operation } from "@vanillarouter/base/operation";
import { LinkPool } from "./linkPool";
import { VmNode } from "./vmNode";

/** A node that runs on real sockets. */
export interface RunningNode {
    readonly node: VmNode;
    readonly links: LinkPool;
    /** Bound UDP port for heartbeats. */
    readonly heartbeatPort: number;
    /** Bound TCP port for links. */
    readonly linkPort: number;
    /** Returns the number of links that other VMs have open to this one. */
    readonly countIncomingLinks: () => number;
    /** Announces to the other VMs that this VM is stopping, and closes its sockets. Cancel the task of `node.run()` first. */
    readonly close: () => Operation<void>;
}
