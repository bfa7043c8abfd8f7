import { Configuration } from "./configuration";
import { Signal } from "./signal";

/** Provides the configuration that is in effect on this VM. */
export interface ConfigurationSource {
    /** The configuration in effect; undefined until the VM has received every configuration shard. */
    readonly current: Configuration | undefined;
    /** Notified after each change. */
    readonly changed: Signal<Configuration>;
}
