const prefix = "vanillarouter";

/** Keys of the store that the configuration uses. */
export const configurationKeys = {
    formatShardKey: (shard: string): string => `${prefix}/config/${shard}`,
    auditPrefix: `${prefix}/audit/`,
    /** A change id begins with its UTC day, so audit records are listed one day at a time. */
    formatAuditKey: (changeId: string): string => `${prefix}/audit/${changeId.slice(0, 8)}/${changeId}`,
} as const;
