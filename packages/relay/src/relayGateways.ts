import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { sleep } from "@vanillarouter/base/sleep";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { ClusterState } from "@vanillarouter/session/cluster/clusterState";
import { MemberEntry } from "@vanillarouter/session/model/memberEntry";
import * as bunyan from "bunyan";
import { GatewayOrder } from "./gatewayOrder";
import { RelayGateway } from "./relayGateway";
import { RelayLink } from "./relayLink";

const linkCheckIntervalMs = 100;
/** Failed gateways are retried once in this many checks of the links. */
const linkChecksPerRetry = 4;
const serviceCheckTimeoutMs = 300;
/** The gateways to which this VM relays statements, and the state of each. */
export class RelayGateways {
    private readonly gateways = new Map<string, RelayGateway>();
    private readonly cutOffServices = new Set<string>();

    private constructor(
        private readonly cluster: ClusterState,
        private readonly clock: Clock,
        private readonly order: GatewayOrder,
        private readonly tasks: TaskGroup,
        private readonly log: bunyan,
    ) {}

    public static create(cluster: ClusterState, clock: Clock, zone: string, tasks: TaskGroup, random: RandomSource, log: bunyan): RelayGateways {
        return new RelayGateways(cluster, clock, GatewayOrder.create(zone, random), tasks, log);
    }

    /**
     * Returns the gateways of a service whose last call did not fail. With a tenant, those that the tenant prefers come first, otherwise
     * those in this VM's zone; in both cases unless they have more active calls.
     */
    public listUsable(service: string, tenant: string | undefined): readonly RelayGateway[] {
        return this.order.sort(service, this.list(service).filter(gateway => !gateway.hasFailed(service)), tenant);
    }

    /** Whether this VM has no usable gateway for the service. */
    public isCutOff(service: string): boolean {
        const gateways = this.list(service);
        return gateways.length === 0 || gateways.every(gateway => gateway.hasFailed(service));
    }

    /** Returns the `RelayGateway` of a member, creating it for a new member or a changed address. */
    public getOrCreate(member: MemberEntry): RelayGateway {
        const existing = this.gateways.get(member.id);
        if (existing !== undefined && existing.address === member.relayAddress) return existing;
        existing?.close();
        const gateway = RelayGateway.create(member, this.clock, this.tasks);
        this.gateways.set(member.id, gateway);
        return gateway;
    }

    /** Records a failed call. If the gateway is unreachable, this VM may be cut off, so the other gateways are probed at once. */
    public recordFailure(gateway: RelayGateway, service: string): void {
        if (!gateway.isUnreachable) gateway.recordFailure(service);
        else this.probeUnlinkedGateways(service);
        this.updateCutOff(service);
    }

    /** Connects to the gateways of a service that have no link, so that statements need not wait for connections that fail. */
    private probeUnlinkedGateways(service: string): void {
        for (const gateway of this.list(service)) {
            if (gateway.isLinked || gateway.hasFailed(service)) continue;
            this.tasks.start(this.probeGateway(gateway, service));
        }
    }

    private *probeGateway(gateway: RelayGateway, service: string): Operation<void> {
        const link = yield* gateway.obtainLink();
        if (link !== undefined) yield* this.checkService(gateway, link, service);
        this.updateCutOff(service);
    }

    /** Checks the links, retries failed gateways, and closes links to VMs that are no longer members. */
    public *maintainLinks(): Operation<never> {
        for (let count = 1;; count++) {
            yield* sleep(this.clock, linkCheckIntervalMs);
            for (const gateway of this.gateways.values()) gateway.checkLink();
            if (count % linkChecksPerRetry !== 0) continue;
            this.removeNonMembers();
            for (const gateway of this.gateways.values()) {
                if (gateway.failedServices.length > 0 || gateway.isUnreachable) this.tasks.start(this.retryFailedServices(gateway));
            }
        }
    }

    private *retryFailedServices(gateway: RelayGateway): Operation<void> {
        const link = yield* gateway.obtainLink();
        if (link === undefined) return;
        for (const service of gateway.failedServices) yield* this.checkService(gateway, link, service);
        for (const service of [...this.cutOffServices]) this.updateCutOff(service);
    }

    private *checkService(gateway: RelayGateway, link: RelayLink, service: string): Operation<void> {
        const response = yield* link.call(serviceCheckTimeoutMs, call => ({ kind: "check", call, service }));
        if (response?.kind === "ready") gateway.recordSuccess(service);
        else gateway.recordFailure(service);
        this.updateCutOff(service);
    }

    private updateCutOff(service: string): void {
        const isCutOff = this.isCutOff(service);
        if (isCutOff === this.cutOffServices.has(service)) return;
        if (isCutOff) this.cutOffServices.add(service);
        else this.cutOffServices.delete(service);
        this.log.warn({ dependency: "gateways", service }, isCutOff ? "dependency.lost" : "dependency.regained");
    }

    private list(service: string): RelayGateway[] {
        const members = this.cluster.gateways.list(service).filter(member => member.relayAddress !== undefined && member.id !== this.cluster.vmId);
        return members.map(member => this.getOrCreate(member));
    }

    private removeNonMembers(): void {
        for (const [id, gateway] of this.gateways) {
            if (this.cluster.findMember(id) !== undefined) continue;
            gateway.close();
            this.gateways.delete(id);
        }
    }
}
