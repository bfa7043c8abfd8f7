import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";
import { Result } from "ts-results";
import { GroupExchange } from "./groupExchange";
import { MemberExchange } from "./memberExchange";
import { ShardDelta } from "./shardDelta";
import { ShardDigest } from "./shardDigest";
import { ShardDocument } from "./shardDocument";

/** Calls from this VM to other VMs. Each completes within a bounded time. */
export interface PeerCalls {
    openOwner(vm: VmDescription): OwnerLink;
    readDigest(vm: VmDescription): Operation<Result<ShardDigest, Failure>>;
    pullShards(vm: VmDescription, names: readonly string[]): Operation<Result<readonly ShardDocument[], Failure>>;
    pushShards(vm: VmDescription, deltas: readonly ShardDelta[]): Operation<Result<void, Failure>>;
    exchangeMembers(vm: VmDescription, exchange: MemberExchange): Operation<Result<MemberExchange, Failure>>;
    exchangeGroups(vm: VmDescription, exchange: GroupExchange): Operation<Result<GroupExchange, Failure>>;
}
