import { OwnerLink } from "../owner/ownerLink";

/** A group's primary as an entry VM knows it. */
export interface KnownPrimary {
    readonly upstream: string;
    readonly term: number;
    readonly owner: OwnerLink;
}
