import { Failure } from "@vanillarouter/base/failure";
import { LatencyMetrics } from "@vanillarouter/base/latencyMetrics";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Result } from "ts-results";

/** Counts of finished statements of one class. */
interface ClassCounters {
    answered: number;
    withinTarget: number;
    didNotRun: number;
    ran: number;
    unknown: number;
}

/** Metrics of the entry role of a VM, by class of work. The daemon exposes them under `/metrics`. */
export class EntryMetrics {
    public readonly latencies = LatencyMetrics.create();
    /** Reads outside transactions whose class allows a replica to serve them. */
    public eligibleReads = 0;
    /** Eligible reads that a replica served. */
    public replicaReads = 0;
    /** Retries that took a token of a retry budget. Reads rerouted because an upstream has not responded are not counted. */
    public retries = 0;
    /** Requests whose outcome had to be looked up in the group's records. */
    public resolutions = 0;
    private readonly counters = new Map<string, ClassCounters>();

    private constructor() {}

    public static create(): EntryMetrics {
        return new EntryMetrics();
    }

    public get classes(): ReadonlyMap<string, Readonly<ClassCounters>> {
        return this.counters;
    }

    /** Records a finished statement. The latency of a failed statement is not recorded. */
    public record(className: string, labels: string, latencyMs: number, targetMs: number, result: Result<unknown, Failure>): void {
        const counters = this.getOrCreateCounters(className);
        if (result.ok) {
            counters.answered++;
            if (latencyMs <= targetMs) counters.withinTarget++;
            this.latencies.record(labels, latencyMs);
        }
        else if (result.val.outcome === RunOutcome.DidNotRun) counters.didNotRun++;
        else if (result.val.outcome === RunOutcome.Ran) counters.ran++;
        else counters.unknown++;
    }

    private getOrCreateCounters(className: string): ClassCounters {
        let counters = this.counters.get(className);
        if (counters === undefined) {
            counters = { answered: 0, withinTarget: 0, didNotRun: 0, ran: 0, unknown: 0 };
            this.counters.set(className, counters);
        }
        return counters;
    }
}
