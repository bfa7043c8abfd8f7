import { RandomSource } from "@vanillarouter/base/randomSource";

const tenantCount = 87;
/** Rates of the largest tenants, in operations per second. The others fall in proportion to their place. */
const largestRates = [268, 117, 72, 51, 39, 32, 26] as const;
const smallestRate = 5;

/** An operation of a replayed load. */
interface TenantArrival {
    readonly atMs: number;
    readonly tenant: string;
    /** Time for which it holds its connection, in milliseconds. */
    readonly holdMs: number;
}

/** Generates operations of 87 tenants of very unequal size, at random times, in order of time. */
export class TenantLoad {
    public readonly tenants = Array.from({ length: tenantCount }, (_, index) => `tenant-${index}`);
    private readonly rates = this.tenants.map((_, index) => largestRates[index] ?? Math.max(smallestRate, 182 / (index + 1)));

    private constructor(private readonly random: RandomSource) {}

    public static create(random: RandomSource): TenantLoad {
        return new TenantLoad(random);
    }

    public generate(operationsPerSecond: number, durationMs: number): readonly TenantArrival[] {
        const arrivals: TenantArrival[] = [];
        for (let atMs = 0;;) {
            atMs += -Math.log(1 - this.random.next()) * 1_000 / operationsPerSecond;
            if (atMs >= durationMs) return arrivals;
            arrivals.push({ atMs, tenant: this.chooseTenant(), holdMs: this.random.next() < 0.5 ? 5 : 20 });
        }
    }

    private chooseTenant(): string {
        let rest = this.random.next() * this.rates.reduce((sum, rate) => sum + rate, 0);
        return this.tenants[this.rates.findIndex(rate => (rest -= rate) < 0)] ?? this.tenants[0]!;
    }
}
