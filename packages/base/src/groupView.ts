/** What is known of a database group's primary. A view of a higher term replaces one of a lower term. */
export interface GroupView {
    readonly group: string;
    readonly term: number;
    /** Upstream id of the primary in this term; undefined while an election is open or a majority is out of reach. */
    readonly primary?: string;
}
