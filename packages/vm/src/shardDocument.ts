/** A whole shard as it goes between VMs. */
export interface ShardDocument {
    readonly name: string;
    readonly version: number;
    /** Text as the store holds it; empty for version 0. */
    readonly text: string;
}
