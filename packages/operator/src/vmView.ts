import { MetricFamily } from "@vanillarouter/base/metricFamily";
import { ConfigurationSection } from "@vanillarouter/platform/configurationSection";
import { ConfigurationItem } from "./configurationItem";

/**
 * The state of a VM that the administration API exposes, and its drain control. The `describe` methods return values that JSON can
 * represent.
 */
export interface VmView {
    /** Whether the load balancer may direct callers to this VM: false before the VM is ready and while it drains. */
    readonly isServing: boolean;
    /** Version of the configuration in effect; undefined until the VM has one. */
    readonly configurationVersion: number | undefined;
    listItems(section: ConfigurationSection): readonly ConfigurationItem[];
    describeGroups(): unknown;
    describeMembers(): unknown;
    describeStatus(): Readonly<Record<string, unknown>>;
    collectMetrics(): readonly MetricFamily[];
    /** Starts the graceful shutdown and returns immediately. */
    startDrain(): void;
}
