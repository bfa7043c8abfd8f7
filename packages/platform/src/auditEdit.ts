import { ConfigurationSection } from "./configurationSection";

/** What a change did to one entry. */
export interface AuditEdit {
    readonly section: ConfigurationSection;
    readonly name: string;
    /** The entry before the change; absent if there was none. */
    readonly before?: unknown;
    /** The entry after the change; absent if it was removed. */
    readonly after?: unknown;
}
