import { Rank } from "@vanillarouter/base/rank";
import { Deployment } from "./deployment";
import { FailoverGap } from "./failoverGap";
import { Measurement } from "./measurement";
import { OverloadMeasurement } from "./overloadMeasurement";
import { runScenario } from "./runScenario";
import { Scenario } from "./scenario";
import { ScenarioResult } from "./scenarioResult";
import { ServiceCount } from "./serviceCount";

type Services = ReadonlyMap<string, ServiceCount>;

const decimals = 10_000;

function round(value: number): number {
    return Math.round(value * decimals) / decimals;
}

function readShare(services: Services, className: string): number {
    const service = services.get(className);
    return service === undefined || service.sent === 0 ? 1 : service.served / service.sent;
}

function listShares(services: Services): Readonly<Record<string, number>> {
    return Object.fromEntries([...services.keys()].map(name => [name, round(readShare(services, name))]));
}

function readMedian(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((first, second) => first - second);
    if (sorted.length === 0) return undefined;
    const middle = (sorted.length - 1) / 2;
    return round((sorted[Math.floor(middle)]! + sorted[Math.ceil(middle)]!) / 2);
}

function summarizeGaps(gaps: readonly FailoverGap[]): Measurement["failoverGapMs"] {
    const pick = (read: (gap: FailoverGap) => number | undefined): readonly number[] => gaps.map(read).filter(value => value !== undefined);
    const totals = pick(gap => gap.totalMs);
    return {
        failures: gaps.length,
        completed: totals.length,
        median: readMedian(totals),
        longest: totals.length === 0 ? undefined : round(Math.max(...totals)),
        detectionMedian: readMedian(pick(gap => gap.detectionMs)),
        electionMedian: readMedian(pick(gap => gap.electionMs)),
        firstWriteMedian: readMedian(pick(gap => gap.firstWriteMs)),
    };
}

/** Service of all urgent classes but the overloaded one; undefined if there is none. */
function measureUrgent(deployment: Deployment, services: Services, overloaded: string): number | undefined {
    const urgent = deployment.loads.filter(load => load.workClass.rank === Rank.Urgent && load.workClass.name !== overloaded);
    if (urgent.length === 0) return undefined;
    const counts = urgent.map(load => services.get(load.workClass.name)!);
    return round(counts.reduce((sum, count) => sum + count.served, 0) / counts.reduce((sum, count) => sum + count.sent, 0));
}

function measureOverload(deployment: Deployment, scenario: Scenario, result: ScenarioResult, ordinary: ScenarioResult): OverloadMeasurement {
    const overloaded = scenario.overload!.className;
    const names = [...result.services.keys()].filter(name => name !== overloaded);
    const kept = names.map(name => [name, round(readShare(result.services, name) / readShare(ordinary.services, name))]);
    const excess = result.services.get(overloaded)!;
    return {
        service: listShares(result.services),
        kept: Object.fromEntries(kept),
        lowestKept: Math.min(...kept.map(([, share]) => share as number)),
        otherUrgentWithinTarget: measureUrgent(deployment, result.services, overloaded),
        overloadedServedPerSecond: round((excess.served * 1000) / (scenario.end - scenario.countFrom)),
        overloadedUnknown: excess.unknown,
    };
}

/** Measures one deployment with the product's classes or with the naive router. The first scenario is ordinary load. */
export function measureDeployment(deployment: Deployment, scenarios: readonly Scenario[], seed: number, isNaive: boolean): Measurement {
    const results = scenarios.map(scenario => runScenario(deployment, scenario, seed, isNaive));
    const ordinary = results[0]!;
    const sum = (read: (result: ScenarioResult) => number): number => results.reduce((total, result) => total + read(result), 0);
    const undisturbed = results.filter((_, index) => scenarios[index]!.overload === undefined);
    const reads = undisturbed.reduce((total, result) => total + result.eligibleReads, 0);
    const failures = results.find((_, index) => scenarios[index]!.failures.length > 0);
    const overloads = scenarios.flatMap((scenario, index) =>
        scenario.overload === undefined ? [] : [[scenario.name, measureOverload(deployment, scenario, results[index]!, ordinary)] as const]
    );
    return {
        replicaReadShare: round(undisturbed.reduce((total, result) => total + result.replicaReads, 0) / reads),
        failoverGapMs: summarizeGaps(results.flatMap(result => result.gaps)),
        service: listShares(ordinary.services),
        serviceDuringFailures: listShares(failures?.services ?? new Map()),
        overload: Object.fromEntries(overloads),
        lost: sum(result => result.lost),
        doubled: sum(result => result.doubled),
        mixed: sum(result => result.mixed),
        refusedButRan: sum(result => result.refusedButRan),
        ownWriteMissed: sum(result => result.ownWriteMissed),
        tooOld: sum(result => result.tooOld),
    };
}
