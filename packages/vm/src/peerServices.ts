import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";
import { GroupExchange } from "./groupExchange";
import { MemberExchange } from "./memberExchange";
import { ShardDelta } from "./shardDelta";
import { ShardDigest } from "./shardDigest";
import { ShardDocument } from "./shardDocument";

/** Services that a VM provides to other VMs over links. */
export interface PeerServices {
    /** The local owner role; refuses calls while this VM may not use its roles. */
    readonly owner: OwnerLink;
    readonly readDigest: () => ShardDigest;
    readonly pullShards: (names: readonly string[]) => readonly ShardDocument[];
    readonly pushShards: (deltas: readonly ShardDelta[], senderId: string) => void;
    readonly exchangeMembers: (exchange: MemberExchange) => MemberExchange;
    readonly exchangeGroups: (exchange: GroupExchange) => GroupExchange;
}
