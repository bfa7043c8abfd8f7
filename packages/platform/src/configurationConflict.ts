import { AuditRecord } from "./auditRecord";
import { ConfigurationSection } from "./configurationSection";

/** Tells an operator what changed an entry in the meantime. In `details` of the failure `configurationConflict`. */
export interface ConfigurationConflict {
    readonly section: ConfigurationSection;
    readonly name: string;
    /** Change id that the operator expected; empty for none. */
    readonly expectedChangeId: string;
    /** Change id of the entry now; empty if it does not exist. */
    readonly currentChangeId: string;
    readonly currentValue?: unknown;
    /** The change that was made in the meantime, if its record could be read. */
    readonly change?: AuditRecord;
}
