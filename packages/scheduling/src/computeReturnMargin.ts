const marginFraction = 0.05;
const maxMarginMs = 10;

/**
 * Part of a timeout reserved for returning an owner's response to the entry VM, in milliseconds. If the owner used the whole
 * timeout, the entry VM would have stopped waiting before it received the response or the confirmation that nothing ran.
 */
export function computeReturnMargin(timeoutMs: number): number {
    return Math.min(maxMarginMs, timeoutMs * marginFraction);
}
