import { AuditRecord } from "./auditRecord";
import { ConfigurationSection } from "./configurationSection";

/** A conflict of an operator's change with another change of the same configuration item. Sent in `details` of the failure `configurationConflict`. */
export interface ConfigurationConflict {
    readonly section: ConfigurationSection;
    readonly name: string;
    /** Change id that the operator expected; empty if the operator expected that the item does not exist. */
    readonly expectedChangeId: string;
    /** Current change id of the item; empty if it does not exist. */
    readonly currentChangeId: string;
    readonly currentValue?: unknown;
    /** Last change of the item, or of its shard if the item does not exist; absent if its audit record could not be read. */
    readonly change?: AuditRecord;
}
