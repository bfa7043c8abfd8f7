import { ConfigurationEdit } from "./configurationEdit";

/** A change of the configuration. Its edits take effect together or not at all. */
export interface ConfigurationChange {
    /** Name of the operator. */
    readonly author: string;
    readonly edits: readonly ConfigurationEdit[];
    /** Time within which it must be done, in milliseconds. */
    readonly timeoutMs?: number;
}
