import { VmDescription } from "@vanillarouter/base/vmDescription";
import { HeartbeatKind } from "./heartbeatKind";
import { MemberUpdate } from "./memberUpdate";
import { ZoneNotice } from "./zoneNotice";

/** A message between members. */
export interface Heartbeat {
    readonly kind: HeartbeatKind;
    readonly sender: VmDescription;
    /** Id of the receiver; empty when the sender knows only an address. A VM drops messages addressed to another id. */
    readonly receiver: string;
    /** Sequence number; an ack repeats that of the ping. */
    readonly sequence: number;
    /** Id of the member to ping (PingRequest), or the id after which a page of the table begins (SyncRequest, SyncPage). */
    readonly subject: string;
    /** Hash of the sender's configuration shard versions. */
    readonly configurationMark: number;
    readonly updates: readonly MemberUpdate[];
    readonly notices: readonly ZoneNotice[];
}
