import { OwnerLink } from "./ownerLink";

/** Looks up the owner of an upstream. */
export interface OwnerDirectory {
    /** Returns the link to the current owner; undefined while no live VM can own the upstream. */
    findOwner(upstream: string): OwnerLink | undefined;
    /** Whether the configuration marks the upstream as leaving or the upstream itself reports that it is. */
    isLeaving(upstream: string): boolean;
}
