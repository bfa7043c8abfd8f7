import { MemberUpdate } from "./memberUpdate";

/** Membership data that a relay exchanges with a VM of another zone. */
export interface MemberExchange {
    readonly zone: string;
    /** Digest of the members of each zone that the sender knows. */
    readonly digests: Readonly<Record<string, number>>;
    /** Members whose current state the receiver may not know. */
    readonly updates: readonly MemberUpdate[];
    /** Hash of the sender's configuration shard versions, used to detect a difference. */
    readonly configurationMark: number;
}
