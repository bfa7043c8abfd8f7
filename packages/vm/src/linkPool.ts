import { Clock } from "@vanillarouter/base/clock";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { sleep } from "@vanillarouter/base/sleep";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";
import { Ok, Result } from "ts-results";
import { createWebSocketClass } from "./createWebSocketClass";
import { GroupExchange } from "./groupExchange";
import { MemberExchange } from "./memberExchange";
import { PeerCalls } from "./peerCalls";
import { PeerLink } from "./peerLink";
import { RemoteOwnerLink } from "./remoteOwnerLink";
import { ShardDelta } from "./shardDelta";
import { ShardDigest } from "./shardDigest";
import { ShardDocument } from "./shardDocument";
import { TlsSettings } from "./tlsSettings";

interface LinkPoolOptions {
    readonly vmId: string;
    readonly clock: Clock;
    readonly tls: TlsSettings;
}

const controlTimeoutMs = 2_000;
const transferTimeoutMs = 10_000;
const maxIdleMs = 30_000;
const sweepIntervalMs = 5_000;

/** The links from this VM to others: at most one per VM address, opened on demand and closed when idle. */
export class LinkPool implements PeerCalls {
    private readonly links = new Map<string, PeerLink>();
    private readonly owners = new Map<string, RemoteOwnerLink>();
    private readonly socketClass: ReturnType<typeof createWebSocketClass>;

    private constructor(private readonly options: LinkPoolOptions) {
        this.socketClass = createWebSocketClass(options.tls);
    }

    public static create(options: LinkPoolOptions): LinkPool {
        return new LinkPool(options);
    }

    public get size(): number {
        return this.links.size;
    }

    /** Returns the existing link to a VM, or opens one. A VM that restarted at another address gets a new link. */
    public open(vm: VmDescription): PeerLink {
        const key = `${vm.id}@${vm.host}:${vm.linkPort}`;
        const known = this.links.get(key);
        if (known !== undefined && !known.isClosed) return known;
        const link = PeerLink.create({
            vm,
            clock: this.options.clock,
            socketClass: this.socketClass,
            onClosed: () => {
                if (this.links.get(key) === link) this.links.delete(key);
            },
        });
        this.links.set(key, link);
        return link;
    }

    /** Closes idle links until cancelled. */
    public *run(): Operation<never> {
        for (;;) {
            yield* sleep(this.options.clock, sweepIntervalMs);
            for (const link of [...this.links.values()]) {
                if (link.idleMs >= maxIdleMs) link.close("idle");
            }
        }
    }

    public openOwner(vm: VmDescription): OwnerLink {
        const key = `${vm.id}@${vm.host}:${vm.linkPort}`;
        let owner = this.owners.get(key);
        if (owner === undefined) {
            owner = RemoteOwnerLink.create(() => this.open(vm));
            this.owners.set(key, owner);
        }
        return owner;
    }

    /** Closes the link to a VM that was declared dead and fails its pending calls, unless the VM still responds on the link. */
    public closeUnlessResponsive(vm: VmDescription): void {
        const key = `${vm.id}@${vm.host}:${vm.linkPort}`;
        this.owners.delete(key);
        this.links.get(key)?.closeUnlessResponsive("the VM was declared dead");
    }

    public readDigest(vm: VmDescription): Operation<Result<ShardDigest, Failure>> {
        return this.open(vm).call(controlTimeoutMs, RunOutcome.DidNotRun, (client, options) => client.configuration.digest.query(undefined, options));
    }

    public pullShards(vm: VmDescription, names: readonly string[]): Operation<Result<readonly ShardDocument[], Failure>> {
        return this.open(vm).call(
            transferTimeoutMs,
            RunOutcome.DidNotRun,
            (client, options) => client.configuration.pull.mutate({ names: [...names] }, options),
        );
    }

    public *pushShards(vm: VmDescription, deltas: readonly ShardDelta[]): Operation<Result<void, Failure>> {
        const request = { from: this.options.vmId, deltas: deltas.map(delta => ({ ...delta, removed: [...delta.removed], set: { ...delta.set } })) };
        const result = yield* this.open(vm).call(
            transferTimeoutMs,
            RunOutcome.Unknown,
            (client, options) => client.configuration.push.mutate(request, options),
        );
        return result.err ? result : Ok.EMPTY;
    }

    public exchangeMembers(vm: VmDescription, exchange: MemberExchange): Operation<Result<MemberExchange, Failure>> {
        const request = { ...exchange, updates: [...exchange.updates] };
        return this.open(vm).call(controlTimeoutMs, RunOutcome.Unknown, (client, options) => client.members.exchange.mutate(request, options));
    }

    public exchangeGroups(vm: VmDescription, exchange: GroupExchange): Operation<Result<GroupExchange, Failure>> {
        const request = { ...exchange, views: [...exchange.views], rates: [...exchange.rates] };
        return this.open(vm).call(controlTimeoutMs, RunOutcome.Unknown, (client, options) => client.groups.exchange.mutate(request, options));
    }

    public close(): void {
        for (const link of [...this.links.values()]) link.close("this VM is stopping");
    }
}
