import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import { UpstreamEntry } from "../model/upstreamEntry";
import { ConnectionObserver } from "../upstream/connectionObserver";
import { DecisionLog } from "./decisionLog";

/** Counts and logs the connections that are opened and closed for tenants. Tenants appear only in the log, not in metric labels. */
export class TenantConnectionLog implements ConnectionObserver {
    private constructor(private readonly counters: CounterMetrics, private readonly decisions: DecisionLog) {}

    public static create(counters: CounterMetrics, decisions: DecisionLog): TenantConnectionLog {
        return new TenantConnectionLog(counters, decisions);
    }

    public onOpened(upstream: UpstreamEntry, tenant: string): void {
        this.record(upstream, "opened", { tenant });
    }

    public onEvicted(upstream: UpstreamEntry, evictedTenant: string | undefined, tenant: string | undefined): void {
        this.record(upstream, "evicted", { tenant: evictedTenant, replacedBy: tenant });
    }

    public onSurplusClosed(upstream: UpstreamEntry, tenant: string): void {
        this.record(upstream, "surplus", { tenant });
    }

    private record({ id, service }: UpstreamEntry, event: string, fields: Readonly<Record<string, string | undefined>>): void {
        this.counters.add("vanillarouter_tenant_connections_total", `service="${service}",upstream="${id}",event="${event}"`);
        this.decisions.logServed(`connection.${event}`, { service, upstream: id, ...fields });
    }
}
