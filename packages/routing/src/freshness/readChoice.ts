import { OwnerLink } from "../owner/ownerLink";

/** Where a read goes. */
export interface ReadChoice {
    readonly upstream: string;
    readonly owner: OwnerLink;
    readonly isPrimary: boolean;
    /** Time to let pass before the read is sent, until the replica is expected to have applied the floor, in milliseconds. */
    readonly waitMs: number;
    /** Expected time until the answer, the wait included, in milliseconds. */
    readonly expectedMs: number;
}
