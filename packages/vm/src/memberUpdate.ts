import { VmDescription } from "@vanillarouter/base/vmDescription";
import { MemberState } from "./memberState";

/** A report of a member's state. The higher incarnation wins; within one incarnation, the later state in `MemberState` wins. */
export interface MemberUpdate {
    readonly vm: VmDescription;
    readonly state: MemberState;
}
