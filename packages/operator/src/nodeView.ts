import { MetricFamily } from "@vanillarouter/base/metricFamily";
import { ConfigurationSection } from "@vanillarouter/platform/configurationSection";
import { ConfigurationItem } from "./configurationItem";

/** The state of a VM as the administration API shows it. Values that go to operators are plain JSON. */
export interface NodeView {
    /** Whether the load balancer may send callers: false before the VM is ready and while it drains. */
    readonly isServing: boolean;
    /** Version of the configuration in force; undefined before the VM has one. */
    readonly configurationVersion: number | undefined;
    listItems(section: ConfigurationSection): readonly ConfigurationItem[];
    describeGroups(): unknown;
    describeMembers(): unknown;
    describeStatus(): Readonly<Record<string, unknown>>;
    collectMetrics(): readonly MetricFamily[];
    /** Begins the graceful shutdown. Returns at once. */
    startDrain(): void;
}
