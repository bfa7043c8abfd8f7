import { ConnectionChoiceKind } from "./connectionChoiceKind";

/** Slot time of the upstream that opening a connection takes. */
const openingCostMs = 12;
/** Expected wait for a connection when all are in use: a few statements, or the rest of a transaction. */
const waitingCostMs = 60;

/** Returns the expected cost in milliseconds of a connection that is obtained in this way. */
export function estimateConnectionCostMs(kind: ConnectionChoiceKind): number {
    if (kind === ConnectionChoiceKind.Reuse) return 0;
    return kind === ConnectionChoiceKind.Open ? openingCostMs : openingCostMs + waitingCostMs;
}
