/** A metric with all its samples, modelled after the Prometheus text format. */
export interface MetricFamily {
    readonly name: string;
    readonly help: string;
    readonly type: "counter" | "gauge" | "summary";
    readonly samples: readonly {
        /** Appended to the name, such as `_count`. */
        readonly suffix?: string;
        /** Labels such as `class="orders"`; empty for none. */
        readonly labels: string;
        readonly value: number;
    }[];
}
