const readKeyword = /^(?:select|show|explain|describe|desc)\b/i;
const lockingClause = /\bfor\s+(?:update|share)\b|\block\s+in\s+share\s+mode\b/i;

/** Returns whether a statement is known to be read-only, so that it may run more than once unless the caller forbids it. */
export function isRead(sql: string): boolean {
    return readKeyword.test(sql) && !lockingClause.test(sql);
}
