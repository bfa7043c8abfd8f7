import { ConfigurationEdit } from "./configurationEdit";

/** A change of the configuration. Its edits take effect atomically. */
export interface ConfigurationChange {
    /** Name of the operator. */
    readonly author: string;
    readonly edits: readonly ConfigurationEdit[];
    /** Time limit of the change, in milliseconds. */
    readonly timeoutMs?: number;
}
