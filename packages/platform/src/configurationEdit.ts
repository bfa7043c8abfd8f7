import { ConfigurationSection } from "./configurationSection";

/** Sets or removes one entry of the configuration. */
export interface ConfigurationEdit {
    readonly section: ConfigurationSection;
    readonly name: string;
    /** The new entry; undefined removes it. */
    readonly value?: unknown;
    /**
     * Change id of the entry that the operator saw; empty if there was none. Absent: the state when the change arrives,
     * so that only changes made at the same moment conflict.
     */
    readonly expectedChangeId?: string;
}
