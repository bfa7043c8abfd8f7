import { Operation } from "@vanillarouter/base/operation";
import { LinkPool } from "./linkPool";
import { VmNode } from "./vmNode";

/** A node on real sockets. */
export interface RunningNode {
    readonly node: VmNode;
    readonly links: LinkPool;
    /** Bound port of heartbeats. */
    readonly heartbeatPort: number;
    /** Bound port of links. */
    readonly linkPort: number;
    /** Number of links that other VMs have open to this one. */
    readonly countIncomingLinks: () => number;
    /** Says to the others that this VM ends, and closes its sockets. Cancel the task of `node.run()` first. */
    readonly close: () => Operation<void>;
}
