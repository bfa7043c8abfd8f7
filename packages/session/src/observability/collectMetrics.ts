import { createCounterFamilies } from "@vanillarouter/base/createCounterFamilies";
import { createLatencyFamily } from "@vanillarouter/base/createLatencyFamily";
import { MetricFamily } from "@vanillarouter/base/metricFamily";
import { ClusterState } from "../cluster/clusterState";
import { EntryMetrics } from "../entry/entryMetrics";
import { UpstreamPools } from "../upstream/upstreamPools";

const counterHelp: Readonly<Record<string, string>> = {
    vanillarouter_statements_total: "Statements by class and outcome.",
    vanillarouter_logins_refused_total: "Logins refused because of their key, by class.",
    vanillarouter_key_withdrawals_total: "Sessions closed because their key was withdrawn, by class.",
    vanillarouter_abandoned_total: "Statements whose callers left before the outcome, by class and outcome.",
    vanillarouter_attempts_total: "Attempts at statements by service, role of the upstream and outcome.",
    vanillarouter_relayed_total: "Calls of gateways by service and outcome.",
    vanillarouter_store_calls_total: "Calls to the platform's store by kind and answer.",
    vanillarouter_store_changes_total: "Changes of the platform's store by whether they were newer than the known state.",
    vanillarouter_tenant_connections_total: "Connections opened and closed for tenants, by service, upstream and event.",
    vanillarouter_quota_admissions_total: "Operations of tenants with a quota by whether they were admitted or refused.",
    vanillarouter_quota_requests_total: "Requests for tokens by outcome: granted in part or whole, refused, or lost with their keeper.",
    vanillarouter_quota_grants_total: "Tokens that this VM granted as a keeper, and refused by reason.",
    vanillarouter_callers_closed_total: "Connections of callers that were closed for exceeding a limit, by limit.",
    vanillarouter_promotions_total: "Promotions by service and outcome.",
};

function createGauge(name: string, help: string, samples: readonly { readonly labels: string; readonly value: number; }[]): MetricFamily {
    return { name, help, type: "gauge", samples };
}

function createLatencyFamilies(metrics: EntryMetrics): readonly MetricFamily[] {
    const statementLatencies = metrics.statementLatencies.loaded;
    const promotionLatencies = metrics.promotionLatencies.loaded;
    return [
        ...(statementLatencies === undefined
            ? []
            : [createLatencyFamily("vanillarouter_statement_seconds", "Time from arrival to the whole answer.", statementLatencies)]),
        ...(promotionLatencies === undefined
            ? []
            : [createLatencyFamily("vanillarouter_failover_seconds", "Time from the claim to each phase of a promotion.", promotionLatencies)]),
    ];
}

/** Collects all metrics of a VM. `storeEra` is the number of the store's history that the VM has seen last. */
export function collectMetrics(metrics: EntryMetrics, cluster: ClusterState, pools: UpstreamPools, storeEra: number): readonly MetricFamily[] {
    const label = (pool: { readonly upstream: { readonly id: string; readonly service: string; }; }): string =>
        `service="${pool.upstream.service}",upstream="${pool.upstream.id}"`;
    return [
        ...createLatencyFamilies(metrics),
        ...createCounterFamilies(metrics.counters, counterHelp),
        createGauge("vanillarouter_configuration_version", "Version of the configuration in force.", [{
            labels: "",
            value: cluster.configuration?.version ?? 0,
        }]),
        createGauge("vanillarouter_configuration_age_seconds", "Time since the configuration came into force.", [{
            labels: "",
            value: cluster.configurationAgeMs / 1000,
        }]),
        createGauge("vanillarouter_store_era", "Number of the store's history, which increases when the store comes back from a backup.", [{
            labels: "",
            value: storeEra,
        }]),
        createGauge("vanillarouter_members", "VMs that are listed.", [{ labels: "", value: cluster.memberList.length }]),
        createGauge("vanillarouter_upstream_connections", "Open connections.", pools.all.map(pool => ({ labels: label(pool), value: pool.connectionCount }))),
        createGauge(
            "vanillarouter_upstream_load",
            "Running and waiting statements per slot.",
            pools.all.map(pool => ({ labels: label(pool), value: pool.slots.load })),
        ),
        createGauge(
            "vanillarouter_upstream_slot_quota",
            "Statements that this VM may run at once.",
            pools.all.map(pool => ({ labels: label(pool), value: pool.slots.use.quota })),
        ),
        createGauge(
            "vanillarouter_upstream_expected_wait_seconds",
            "Time until a new statement is expected to get a slot.",
            pools.all.map(pool => ({ labels: label(pool), value: pool.slots.expectedWaitMs / 1000 })),
        ),
    ];
}
