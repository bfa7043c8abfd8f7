import { ConfigurationSection } from "./configurationSection";

/** Effect of a change on one configuration item. */
export interface AuditEdit {
    readonly section: ConfigurationSection;
    readonly name: string;
    /** Value of the item before the change; absent if the item did not exist. */
    readonly before?: unknown;
    /** Value of the item after the change; absent if the item was removed. */
    readonly after?: unknown;
}
