import { VmDescription } from "@vanillarouter/base/vmDescription";
import { MemberState } from "./memberState";

/** What is said of a member. The higher incarnation wins; within one, the later state. */
export interface MemberUpdate {
    readonly vm: VmDescription;
    readonly state: MemberState;
}
