import { RandomSource } from "@vanillarouter/base/randomSource";
import { Task } from "@vanillarouter/base/task";
import { StatementRequest } from "@vanillarouter/routing/entry/statementRequest";
import { ClassLoad } from "./classLoad";
import { FakeFleet } from "./fakeFleet";
import { MeasuredSystem } from "./measuredSystem";
import { RequestLedger } from "./requestLedger";

const franchisees = 48;
/** Share of requests that reach another VM than the franchisee's usual one. */
const roamingShare = 0.1;
/** Share of requests whose caller has lost its session token. */
const lostTokenShare = 0.01;
/** A service time is the mean times this plus an exponential part, up to a limit. */
const fixedPart = 0.6;
const longestServiceFactor = 5;
const msPerSecond = 1000;

interface Franchisee {
    readonly name: string;
    readonly homeVm: number;
    /** Last acknowledged write in each group. */
    readonly positions: Map<string, number>;
    /** Tokens that no later one covers; requests that overlap get tokens that do not know of each other. */
    readonly tokens: Set<string>;
}

/** Sends the requests of one class to the system under measurement, in a Poisson process. */
export class LoadGenerator {
    private readonly franchisees: readonly Franchisee[];
    private sent = 0;

    private constructor(
        private readonly fleet: FakeFleet,
        private readonly system: MeasuredSystem,
        private readonly ledger: RequestLedger,
        private readonly load: ClassLoad,
        private readonly random: RandomSource,
        private readonly prefix: string,
    ) {
        const vms = fleet.deployment.vmZones.length;
        this.franchisees = Array.from({ length: franchisees }, (_, index) => ({
            name: `f${index}`,
            homeVm: index % vms,
            positions: new Map<string, number>(),
            tokens: new Set<string>(),
        }));
    }

    public static create(
        fleet: FakeFleet,
        system: MeasuredSystem,
        ledger: RequestLedger,
        load: ClassLoad,
        random: RandomSource,
        prefix: string,
    ): LoadGenerator {
        return new LoadGenerator(fleet, system, ledger, load, random, prefix);
    }

    /** Sends at a rate from now until `end`; what arrives from `countFrom` on counts for the service of the class. */
    public start(requestsPerSecond: number, end: number, countFrom: number): void {
        const { clock } = this.fleet;
        const scheduleNext = (): void => {
            const gapMs = (-Math.log(1 - this.random.next()) * msPerSecond) / requestsPerSecond;
            if (clock.now() + gapMs >= end) return;
            clock.startTimer(gapMs, () => {
                scheduleNext();
                this.send(clock.now() >= countFrom);
            });
        };
        scheduleNext();
    }

    private send(isCounted: boolean): void {
        const { random, load } = this;
        const franchisee = this.pick(this.franchisees);
        const group = this.pick(this.fleet.deployment.groups).name;
        const isWrite = random.next() < load.writeShare;
        const vm = random.next() < roamingShare ? Math.floor(random.next() * this.fleet.deployment.vmZones.length) : franchisee.homeVm;
        const tokens = random.next() < lostTokenShare ? undefined : [...franchisee.tokens];
        const req = this.makeRequest(franchisee.name, group, isWrite);
        const ownPosition = franchisee.positions.get(group) ?? 0;
        if (isCounted) this.ledger.recordSent(load.workClass.name);
        const task = Task.start(this.system.execute(vm, `${load.workClass.name}-${franchisee.name}`, tokens, req));
        task.onSettled(() =>
            task.deliver(result => {
                const position = this.ledger.record({ req, load, isWrite, ownPosition, isCounted }, result);
                if (position !== undefined) franchisee.positions.set(group, Math.max(position, franchisee.positions.get(group) ?? 0));
                if (result.err || result.val.token === undefined) return;
                for (const covered of tokens ?? []) franchisee.tokens.delete(covered);
                franchisee.tokens.add(result.val.token);
            }, err => {
                throw err;
            })
        );
    }

    private makeRequest(franchisee: string, group: string, isWrite: boolean): StatementRequest {
        const { workClass, writeMs, readMs } = this.load;
        const requestId = `${this.prefix}${this.sent++}`;
        const serviceMs = this.drawServiceTime(isWrite ? writeMs : readMs).toFixed(3);
        const sql = isWrite ? `UPDATE ${serviceMs} ${requestId}` : `SELECT ${serviceMs} ${requestId}`;
        return { requestId, className: workClass.name, franchisee, group, sql, arrivedAt: this.fleet.clock.now(), repeatable: !isWrite };
    }

    private drawServiceTime(meanMs: number): number {
        const factor = fixedPart - (1 - fixedPart) * Math.log(1 - this.random.next());
        return meanMs * Math.min(longestServiceFactor, factor);
    }

    private pick<T>(items: readonly T[]): T {
        return items[Math.floor(this.random.next() * items.length)]!;
    }
}
