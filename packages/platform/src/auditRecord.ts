import { AuditEdit } from "./auditEdit";

/** Record of one change in the audit trail. It is written in the same store transaction as the change, so it exists only if the change took effect. */
export interface AuditRecord {
    readonly changeId: string;
    readonly author: string;
    /** Time on the clock of the VM that made the change, in ISO 8601 form. */
    readonly time: string;
    readonly outcome: "applied";
    readonly edits: readonly AuditEdit[];
}
