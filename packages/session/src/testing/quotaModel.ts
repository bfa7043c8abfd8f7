import { ManualClock } from "@vanillarouter/base/manualClock";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { sleep } from "@vanillarouter/base/sleep";
import { MemberEntry } from "../model/memberEntry";
import { RoutingConfiguration } from "../model/routingConfiguration";
import { Tenant } from "../model/tenant";
import { TenantDirectory } from "../model/tenantDirectory";
import { QuotaGrant } from "../quota/quotaGrant";
import { QuotaRequest } from "../quota/quotaRequest";
import { QuotaVm } from "./quotaVm";

const zones = ["z1", "z2", "z3"];
const oneWayMs = 1;
const renewIntervalMs = 3_000;
const leaseMs = 10_000;
const reconnectCheckMs = 100;

interface StoredEntry {
    readonly member: MemberEntry;
    readonly expiresAt: number;
    readonly isSettled: boolean;
}

/** Several VMs with quotas, the store's list of members with leases, and the links between the VMs, on one manual clock. */
export class QuotaModel {
    public readonly clock = ManualClock.create(100_000);
    public readonly vms = new Map<string, QuotaVm>();
    /** Times of admitted and refused operations by tenant. */
    public readonly admitted = new Map<string, number[]>();
    public readonly refused = new Map<string, number[]>();
    /** Messages between different VMs. */
    public messages = 0;
    /** Time in milliseconds from each operation to its admission or refusal. */
    public readonly waits: number[] = [];
    public isStoreDown = false;
    private readonly random: RandomSource;
    private readonly entries = new Map<string, StoredEntry>();
    private configuration: RoutingConfiguration;

    /** News of the store reach each VM up to `maxLagMs` late. */
    private constructor(seed: number, tenants: readonly Tenant[], private readonly maxLagMs: number) {
        this.random = SeededRandom.create(seed);
        this.configuration = createConfiguration(1, tenants);
    }

    /** Starts VMs that have been registered for long. */
    public static create(seed: number, count: number, tenants: readonly Tenant[], maxLagMs: number): QuotaModel {
        const model = new QuotaModel(seed, tenants, maxLagMs);
        const members = Array.from({ length: count }, (_, index) => createMember(index));
        for (const member of members) model.entries.set(member.id, { member, expiresAt: model.clock.now() + leaseMs, isSettled: true });
        for (const { id } of members) model.start(id);
        model.repeatExpiry();
        return model;
    }

    /** Starts a VM, or starts it again, unless it runs. */
    public start(id: string): void {
        if (this.vms.get(id)?.isAlive === true || this.isStoreDown) return;
        const member = createMember(Number(id.slice(2)));
        const vm: QuotaVm = QuotaVm.create(member, this.clock, { ask: (keeper, request) => this.ask(vm, keeper, request) });
        this.vms.set(id, vm);
        for (const entry of this.entries.values()) vm.cluster.putMember({ ...entry.member, isSettled: entry.isSettled });
        vm.cluster.applyConfiguration(this.configuration);
        this.register(vm);
        vm.clock.startTimer(this.random.next() * renewIntervalMs, () => this.repeatRenewal(vm));
    }

    public kill(id: string): void {
        const vm = this.vms.get(id);
        if (vm !== undefined) vm.isAlive = false;
    }

    /** Changes the limits. Each VM applies them after up to `maxLagMs`. */
    public configure(tenants: readonly Tenant[]): void {
        const configuration = createConfiguration(this.configuration.version + 1, tenants);
        this.configuration = configuration;
        for (const vm of this.vms.values()) vm.clock.startTimer(this.random.next() * this.maxLagMs, () => vm.cluster.applyConfiguration(configuration));
    }

    /** Sends operations of a tenant through the given VMs for a time, at random moments with a constant mean rate. */
    public send(tenant: string, ratePerSecond: number, durationMs: number, ids: readonly string[] = [...this.vms.keys()]): void {
        let delayMs = 0;
        for (;;) {
            delayMs -= Math.log(1 - this.random.next()) * 1_000 / ratePerSecond;
            if (delayMs > durationMs) return;
            const id = ids[Math.floor(this.random.next() * ids.length)]!;
            this.clock.startTimer(delayMs, () => this.sendOne(tenant, id));
        }
    }

    private sendOne(tenant: string, id: string): void {
        const sentAt = this.clock.now();
        const record = (times: Map<string, number[]>): void => this.record(times, tenant, sentAt);
        this.vms.get(id)!.send(tenant, () => record(this.admitted), () => record(this.refused));
    }

    private record(times: Map<string, number[]>, tenant: string, sentAt: number): void {
        this.waits.push(this.clock.now() - sentAt);
        const known = times.get(tenant);
        if (known === undefined) times.set(tenant, [this.clock.now()]);
        else known.push(this.clock.now());
    }

    private *ask(vm: QuotaVm, { id }: MemberEntry, request: QuotaRequest): Operation<QuotaGrant | undefined> {
        if (id === vm.own.id) return vm.keeper.grant(request);
        this.messages += 2;
        yield* sleep(vm.clock, oneWayMs);
        const keeper = this.vms.get(id);
        if (keeper === undefined || !keeper.isAlive) return undefined;
        if (vm.isCutOff || keeper.isCutOff) return yield* perform<undefined>({ start: () => () => undefined });
        const grant = yield* perform<QuotaGrant>({ start: resume => (keeper.run(() => resume(keeper.keeper.grant(request))), () => undefined) });
        yield* sleep(vm.clock, oneWayMs);
        return grant;
    }

    private register(vm: QuotaVm): void {
        const sentAt = vm.authority.readClock();
        const isSettled = this.entries.get(vm.own.id)?.isSettled === true;
        this.writeEntry(vm, isSettled);
        vm.authority.recordRegistration(sentAt, 0, isSettled);
    }

    private repeatRenewal(vm: QuotaVm): void {
        vm.clock.startTimer(renewIntervalMs, () => this.repeatRenewal(vm));
        if (this.isStoreDown || vm.isCutOff) return;
        const known = this.entries.get(vm.own.id);
        if (known === undefined) return this.register(vm);
        vm.authority.recordRenewal(vm.authority.readClock(), 0);
        this.writeEntry(vm, known.isSettled || vm.authority.isSettled);
    }

    private writeEntry(vm: QuotaVm, isSettled: boolean): void {
        this.entries.set(vm.own.id, { member: vm.own, expiresAt: this.clock.now() + leaseMs, isSettled });
        this.publish(cluster => cluster.putMember({ ...vm.own, isSettled }), vm.own.id);
    }

    private repeatExpiry(): void {
        for (const [id, { expiresAt }] of this.entries) {
            if (expiresAt > this.clock.now()) continue;
            this.entries.delete(id);
            this.publish(cluster => cluster.removeMember(id), id);
        }
        this.clock.startTimer(100, () => this.repeatExpiry());
    }

    /** Passes a change of one key on to the VMs, each with a delay of its own. Only the latest change of a key is applied. */
    private publish(change: (cluster: QuotaVm["cluster"]) => void, key: string): void {
        const entry = this.entries.get(key);
        for (const vm of this.vms.values()) {
            this.deliver(vm, () => {
                if (this.entries.has(key) === (entry !== undefined)) change(vm.cluster);
            });
        }
    }

    /** Delivers news late. A VM that is cut off gets them when it is connected again. */
    private deliver(vm: QuotaVm, apply: () => void, delayMs = this.random.next() * this.maxLagMs): void {
        vm.clock.startTimer(delayMs, () => vm.isCutOff ? this.deliver(vm, apply, reconnectCheckMs) : apply());
    }
}

function createMember(index: number): MemberEntry {
    return { id: `vm${index}`, zone: zones[index % zones.length]!, relayAddress: `h:${index}`, capacity: 1, isLeaving: false };
}

function createConfiguration(version: number, tenants: readonly Tenant[]): RoutingConfiguration {
    const directory = TenantDirectory.create(tenants.map(tenant => ({ tenant, keys: [] })));
    return { version, classes: new Map(), services: new Map(), transactionIdleMs: 0, tenants: directory };
}
