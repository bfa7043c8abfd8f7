import { Configuration } from "./configuration";
import { Signal } from "./signal";

/** Gives the configuration in force on this VM. */
export interface ConfigurationSource {
    /** The configuration in force; undefined until the VM has every shard. */
    readonly current: Configuration | undefined;
    /** Notified after each change. */
    readonly changed: Signal<Configuration>;
}
