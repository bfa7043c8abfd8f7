import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { sleep } from "@vanillarouter/base/sleep";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { GroupExchange } from "../groupExchange";
import { MemberExchange } from "../memberExchange";
import { PeerCalls } from "../peerCalls";
import { PeerServices } from "../peerServices";
import { ShardDelta } from "../shardDelta";
import { ShardDigest } from "../shardDigest";
import { ShardDocument } from "../shardDocument";
import { MemoryNetwork } from "./memoryNetwork";

/** Time after which a call between hosts that cannot reach each other fails, in milliseconds. */
const callTimeoutMs = 1_500;

/** In-memory calls between VMs, subject to the partitions of a network. */
export class MemoryPeers implements PeerCalls {
    /** Number of calls made. */
    public calls = 0;
    /** Number of calls that pulled shards. */
    public pulls = 0;
    /** Total size of the requests and responses as JSON, in bytes. */
    public bytes = 0;

    private constructor(
        private readonly clock: Clock,
        private readonly network: MemoryNetwork,
        private readonly host: string,
        private readonly findServices: (host: string) => PeerServices | undefined,
    ) {}

    public static create(clock: Clock, network: MemoryNetwork, host: string, findServices: (host: string) => PeerServices | undefined): MemoryPeers {
        return new MemoryPeers(clock, network, host, findServices);
    }

    public openOwner(vm: VmDescription): OwnerLink {
        const services = this.findServices(vm.host);
        if (services === undefined) throw new Error(`no VM at ${vm.host}`);
        return services.owner;
    }

    public readDigest(vm: VmDescription): Operation<Result<ShardDigest, Failure>> {
        return this.call(vm, undefined, services => services.readDigest());
    }

    public pullShards(vm: VmDescription, names: readonly string[]): Operation<Result<readonly ShardDocument[], Failure>> {
        this.pulls++;
        return this.call(vm, names, services => services.pullShards(names));
    }

    public pushShards(vm: VmDescription, deltas: readonly ShardDelta[]): Operation<Result<void, Failure>> {
        return this.call(vm, deltas, services => services.pushShards(deltas, this.host));
    }

    public exchangeMembers(vm: VmDescription, exchange: MemberExchange): Operation<Result<MemberExchange, Failure>> {
        return this.call(vm, exchange, services => services.exchangeMembers(exchange));
    }

    public exchangeGroups(vm: VmDescription, exchange: GroupExchange): Operation<Result<GroupExchange, Failure>> {
        return this.call(vm, exchange, services => services.exchangeGroups(exchange));
    }

    private *call<T>(vm: VmDescription, request: unknown, call: (services: PeerServices) => T): Operation<Result<T, Failure>> {
        this.calls++;
        yield* sleep(this.clock, this.network.delayMs);
        const services = this.network.canReach(this.host, vm.host) ? this.findServices(vm.host) : undefined;
        if (services === undefined) {
            yield* sleep(this.clock, callTimeoutMs);
            return Err(createFailure(Diagnostics.linkNotOpened, RunOutcome.DidNotRun, vm.id, "not reachable"));
        }
        const response = call(services);
        this.bytes += JSON.stringify(request ?? "").length + JSON.stringify(response ?? "").length;
        yield* sleep(this.clock, this.network.delayMs);
        if (!this.network.canReach(this.host, vm.host)) {
            yield* sleep(this.clock, callTimeoutMs);
            return Err(createFailure(Diagnostics.linkBroken, RunOutcome.Unknown, vm.id, "not reachable"));
        }
        return Ok(response);
    }
}
