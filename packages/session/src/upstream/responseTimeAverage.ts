import { Clock } from "@vanillarouter/base/clock";

/** Weight of the newest response time in the moving average. */
const newestResponseWeight = 0.2;
/** Time in which the average halves when there are no responses, so that an upstream that was slow is tried again. */
const halfLifeMs = 700;

/** Moving average of an upstream's response times to this VM's statements. It also reflects load that other VMs cause. */
export class ResponseTimeAverage {
    private lastAverageMs = 0;
    private lastAddedAt: number;

    private constructor(private readonly clock: Clock) {
        this.lastAddedAt = clock.now();
    }

    public static create(clock: Clock): ResponseTimeAverage {
        return new ResponseTimeAverage(clock);
    }

    /** The average in milliseconds; zero before the first response. */
    public get recentMs(): number {
        return this.lastAverageMs * 0.5 ** ((this.clock.now() - this.lastAddedAt) / halfLifeMs);
    }

    public add(responseMs: number): void {
        const recentMs = this.recentMs;
        this.lastAverageMs = recentMs === 0 ? responseMs : recentMs + (responseMs - recentMs) * newestResponseWeight;
        this.lastAddedAt = this.clock.now();
    }
}
