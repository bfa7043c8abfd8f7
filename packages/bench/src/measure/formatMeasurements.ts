import { Measurement } from "./measurement";

type Row = readonly [string, string, string];

function formatValue(value: number | undefined): string {
    return value === undefined ? "-" : String(value);
}

function formatNumber(value: number | undefined): string {
    return value === undefined ? "-" : value.toFixed(0);
}

function formatShare(value: number | undefined): string {
    return value === undefined ? "-" : `${(value * 100).toFixed(2)}%`;
}

function makeOverloadRows(name: string, naive: Measurement, ours: Measurement): readonly Row[] {
    const first = naive.overload[name];
    const second = ours.overload[name];
    const kept = Object.keys(second?.kept ?? {});
    return [
        ...kept.map((className): Row => [`${name}: ${className} keeps`, formatShare(first?.kept[className]), formatShare(second?.kept[className])]),
        [`${name}: other urgent within target`, formatShare(first?.otherUrgentWithinTarget), formatShare(second?.otherUrgentWithinTarget)],
        [`${name}: overloaded class served per s`, formatNumber(first?.overloadedServedPerSecond), formatNumber(second?.overloadedServedPerSecond)],
    ];
}

function makeRows(naive: Measurement, ours: Measurement): readonly Row[] {
    const compare = (name: string, read: (measurement: Measurement) => string): Row => [name, read(naive), read(ours)];
    return [
        compare("eligible reads on replicas", measured => formatShare(measured.replicaReadShare)),
        compare("failover gap, median ms", measured => formatNumber(measured.failoverGapMs.median)),
        compare("failover gap, longest ms", measured => formatNumber(measured.failoverGapMs.longest)),
        compare("  detection, median ms", measured => formatNumber(measured.failoverGapMs.detectionMedian)),
        compare("  election, median ms", measured => formatNumber(measured.failoverGapMs.electionMedian)),
        compare("  first acknowledged write, median ms", measured => formatNumber(measured.failoverGapMs.firstWriteMedian)),
        compare("  failures / completed", measured => `${measured.failoverGapMs.failures} / ${measured.failoverGapMs.completed}`),
        ...Object.keys(ours.service).map(name => compare(`service: ${name}`, measured => formatShare(measured.service[name]))),
        ...Object.keys(ours.service).map(name => compare(`during failures: ${name}`, measured => formatShare(measured.serviceDuringFailures[name]))),
        ...Object.keys(ours.overload).flatMap(name => makeOverloadRows(name, naive, ours)),
        compare("lost", measured => formatValue(measured.lost)),
        compare("doubled", measured => formatValue(measured.doubled)),
        compare("mixed", measured => formatValue(measured.mixed)),
        compare("refused as \"did not run\" but ran", measured => formatValue(measured.refusedButRan)),
        compare("reads that missed own writes", measured => formatValue(measured.ownWriteMissed)),
        compare("reads of too old data", measured => formatValue(measured.tooOld)),
    ];
}

/** Formats the measures of a deployment as a table of the naive router and ours. */
export function formatMeasurements(deployment: string, naive: Measurement, ours: Measurement): string {
    const rows: readonly Row[] = [[deployment, "naive", "ours"], ...makeRows(naive, ours)];
    const widths = [0, 1, 2].map(column => Math.max(...rows.map(row => row[column]!.length)));
    const lines = rows.map(row => `${row[0].padEnd(widths[0]!)}  ${row[1].padStart(widths[1]!)}  ${row[2].padStart(widths[2]!)}`);
    return lines.join("\n");
}
