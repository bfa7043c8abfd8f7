import { CallerRequest } from "@vanillarouter/session/entry/callerRequest";
import { RelayContext } from "./relayContext";
import { RelayGateway } from "./relayGateway";

/** Logs and counts the result of one call to a gateway about a statement. */
export function recordRelayCall(
    context: RelayContext,
    req: CallerRequest,
    statementId: string,
    gateway: RelayGateway,
    startedAt: number,
    result: string,
): void {
    const fields = {
        req: statementId,
        operation: req.id,
        service: req.workClass.service,
        gateway: gateway.id,
        gatewayZone: gateway.zone,
        waitedMs: Math.round(startedAt - req.receivedAt),
        ms: Math.round(context.clock.now() - startedAt),
        outcome: result,
    };
    context.metrics.counters.add("vanillarouter_relayed_total", `service="${req.workClass.service}",outcome="${result}"`);
    if (result === "answered") context.decisions.logServed("statement.relayed", fields);
    else context.decisions.logFailed("statement.relayed", fields);
}
