import { VmDescription } from "@vanillarouter/base/vmDescription";
import { HeartbeatKind } from "./heartbeatKind";
import { MemberUpdate } from "./memberUpdate";
import { ZoneNotice } from "./zoneNotice";

/** A message between members. */
export interface Heartbeat {
    readonly kind: HeartbeatKind;
    readonly sender: VmDescription;
    /** Id of the receiver; empty when the sender knows only an address. A message for another VM is dropped. */
    readonly receiver: string;
    /** Number that an ack repeats. */
    readonly sequence: number;
    /** Member to ping (PingRequest), or the id from which a page of the table begins (SyncRequest, SyncPage). */
    readonly subject: string;
    /** Digest of the sender's configuration versions. */
    readonly configurationMark: number;
    readonly updates: readonly MemberUpdate[];
    readonly notices: readonly ZoneNotice[];
}
