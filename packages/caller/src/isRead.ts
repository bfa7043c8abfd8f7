const readWord = /^(?:select|show|explain|describe|desc)\b/i;
const lockingRead = /\bfor\s+(?:update|share)\b|\block\s+in\s+share\s+mode\b/i;

/** Whether a statement is known to change nothing, so that it may run again unless its caller says otherwise. */
export function isRead(sql: string): boolean {
    return readWord.test(sql) && !lockingRead.test(sql);
}
