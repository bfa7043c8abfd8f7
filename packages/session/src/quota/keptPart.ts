import { MemberEntry } from "../model/memberEntry";

/** A part of a tenant's limit and the VM that keeps it. */
export interface KeptPart {
    readonly part: number;
    readonly keeper: MemberEntry;
}
