const implicitCommitPattern = /^\s*(?:alter|analyze|create(?!\s+temporary)|drop(?!\s+temporary)|grant|lock|optimize|rename|repair|revoke|truncate|unlock)\b/i;

/** Whether a MySQL server commits an open transaction before it runs the statement. */
export function commitsImplicitly(sql: string): boolean {
    return implicitCommitPattern.test(sql);
}
