/** What a VM knows about the primary of a database group. A view with a higher term replaces one with a lower term. */
export interface GroupView {
    readonly group: string;
    readonly term: number;
    /** Upstream id of the primary in this term; undefined while an election is in progress or a majority is unreachable. */
    readonly primary?: string;
}
