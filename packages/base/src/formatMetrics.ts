import { MetricFamily } from "./metricFamily";

/** Formats metrics in the Prometheus text format. */
export function formatMetrics(families: readonly MetricFamily[]): string {
    const lines: string[] = [];
    for (const { name, help, type, samples } of families) {
        lines.push(`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`);
        for (const { suffix, labels, value } of samples) lines.push(`${name}${suffix ?? ""}${labels === "" ? "" : `{${labels}}`} ${value}`);
    }
    return lines.join("\n") + "\n";
}
