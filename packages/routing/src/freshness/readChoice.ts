import { OwnerLink } from "../owner/ownerLink";

/** The upstream chosen for a read. */
export interface ReadChoice {
    readonly upstream: string;
    readonly owner: OwnerLink;
    readonly isPrimary: boolean;
    /** Delay before the read is sent, until the replica is expected to have applied the floor, in milliseconds. */
    readonly waitMs: number;
    /** Expected time until the response, including `waitMs` and a penalty if the upstream is to be avoided, in milliseconds. */
    readonly expectedMs: number;
}
