import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import { ErrorKind } from "../model/errorKind";
import { DeferredLatencies } from "./deferredLatencies";

/** Counters and latencies of the statements that this VM served, and latencies of its promotions. */
export class EntryMetrics {
    public readonly statementLatencies = DeferredLatencies.create();
    public readonly promotionLatencies = DeferredLatencies.create();
    public readonly counters = CounterMetrics.create();

    private constructor() {}

    public static create(): EntryMetrics {
        return new EntryMetrics();
    }

    /** Counts a statement whose caller left before its outcome was known. It is also counted by `recordStatement`. */
    public recordAbandoned(workClass: string, error: ErrorKind | undefined): void {
        this.counters.add("vanillarouter_abandoned_total", `class="${workClass}",outcome="${error ?? "answered"}"`);
    }

    public recordStatement(workClass: string, error: ErrorKind | undefined, latencyMs: number): void {
        this.counters.add("vanillarouter_statements_total", `class="${workClass}",outcome="${error ?? "answered"}"`);
        this.statementLatencies.record(`class="${workClass}"`, latencyMs);
    }

    /** Counts a login that was refused because of its key. */
    public recordRefusedLogin(workClass: string): void {
        this.counters.add("vanillarouter_logins_refused_total", `class="${workClass}"`);
    }

    /** Counts a session that ended because its key was withdrawn. */
    public recordKeyWithdrawal(workClass: string): void {
        this.counters.add("vanillarouter_key_withdrawals_total", `class="${workClass}"`);
    }
}
