import { ConnectionBudget } from "@vanillarouter/base/connectionBudget";
import { ConnectionLimits } from "@vanillarouter/base/connectionLimits";
import { EntryContext } from "./entryContext";

/** Creates the budget of a VM's callers. Closed connections are counted by reason and logged at the limited rate of failed requests. */
export function createCallerBudget(limits: ConnectionLimits, { metrics, decisions }: EntryContext): ConnectionBudget {
    return ConnectionBudget.create(limits, (connection, reason, heldBytes) => {
        metrics.counters.add("vanillarouter_callers_closed_total", `reason="${reason}"`);
        decisions.logFailed("caller.closed", { caller: connection.remoteAddress, reason, heldBytes });
    });
}
