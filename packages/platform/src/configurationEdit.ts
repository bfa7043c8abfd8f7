import { ConfigurationSection } from "./configurationSection";

/** Sets or removes one configuration item. */
export interface ConfigurationEdit {
    readonly section: ConfigurationSection;
    readonly name: string;
    /** New value of the item; undefined removes the item. */
    readonly value?: unknown;
    /**
     * Change id of the item that the operator saw; empty if the item did not exist. If absent, the change id that the item has
     * when the change arrives is expected, so that only simultaneous changes conflict.
     */
    readonly expectedChangeId?: string;
}
