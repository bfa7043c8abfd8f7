const prefix = "vanillarouter";

/** Keys under which the store holds the configuration and its audit trail. */
export const configurationKeys = {
    formatShardKey: (shard: string): string => `${prefix}/config/${shard}`,
    auditPrefix: `${prefix}/audit/`,
    /** A change id begins with the UTC date, under which audit records are grouped so that they can be listed by day. */
    formatAuditKey: (changeId: string): string => `${prefix}/audit/${changeId.slice(0, 8)}/${changeId}`,
} as const;
