/** Shortest time after which a refused caller is told to come back, in milliseconds. */
const minDelayMs = 20;

/**
 * Returns after how many milliseconds a refused statement should be sent again, from the time that a new statement is expected to
 * wait for a slot. `random` is a number from 0 to 1, which spreads callers that are refused together over as long again.
 */
export function computeRetryDelayMs(expectedWaitMs: number, random: number): number {
    return Math.ceil(Math.max(minDelayMs, expectedWaitMs) * (1 + random));
}
