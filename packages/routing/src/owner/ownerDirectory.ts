import { OwnerLink } from "./ownerLink";

/** Finds the owner of an upstream. */
export interface OwnerDirectory {
    /** Returns the link to the current owner; undefined while no live VM can own the upstream. */
    findOwner(upstream: string): OwnerLink | undefined;
    /** Whether the upstream is leaving by configuration or by its own word. */
    isLeaving(upstream: string): boolean;
}
