/** A complete shard in the form exchanged between VMs. */
export interface ShardDocument {
    readonly name: string;
    readonly version: number;
    /** Text in the format of the store; empty for version 0. */
    readonly text: string;
}
