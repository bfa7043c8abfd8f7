import { VmDescription } from "@vanillarouter/base/vmDescription";
import { MemberState } from "./memberState";

/** A member and its state, as recorded in the member table. */
export interface Member {
    readonly vm: VmDescription;
    readonly state: MemberState;
    /** Hash of the id, cached because role assignment uses it often. */
    readonly idHash: number;
    /** Local time of the last accepted update or of the last call of `resetStateSince`, in milliseconds. */
    readonly stateSince: number;
}
