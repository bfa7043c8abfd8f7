import { MemberUpdate } from "./memberUpdate";

/** What relays of two zones tell each other. */
export interface MemberExchange {
    readonly zone: string;
    /** Digest of the members of each zone that the sender knows. */
    readonly digests: Readonly<Record<string, number>>;
    /** Members whose state the other may not have. */
    readonly updates: readonly MemberUpdate[];
    /** Mark of the sender's configuration, to notice a difference. */
    readonly configurationMark: number;
}
