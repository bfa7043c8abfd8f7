import { Operation } from "@vanillarouter/base/operation";
import { Diagnostics } from "@vanillarouter/session/diagnostics";
import { CallerRequest } from "@vanillarouter/session/entry/callerRequest";
import { createFailedOutcome } from "@vanillarouter/session/entry/createFailedOutcome";
import { hasCallerLeft } from "@vanillarouter/session/entry/hasCallerLeft";
import { StatementOutcome } from "@vanillarouter/session/entry/statementOutcome";
import { CallerStatement } from "@vanillarouter/session/model/callerStatement";
import { CallerTransaction } from "@vanillarouter/session/model/callerTransaction";
import { ErrorKind } from "@vanillarouter/session/model/errorKind";
import { OperationExecutor } from "@vanillarouter/session/model/operationExecutor";
import { describeOperation } from "./describeOperation";
import { recordRelayCall } from "./recordRelayCall";
import { RelayContext } from "./relayContext";
import { RelayedTransaction } from "./relayedTransaction";
import { RelayGateway } from "./relayGateway";
import { RelayLimits } from "./relayLimits";
import { RelayRequest } from "./relayRequest";
import { RelayResponse } from "./relayResponse";

/** Runs the operations of an entry VM through gateways. */
export class RelayExecutor implements OperationExecutor {
    private constructor(private readonly context: RelayContext) {}

    public static create(context: RelayContext): RelayExecutor {
        return new RelayExecutor(context);
    }

    public *runStatement(req: CallerRequest, statement: CallerStatement): Operation<StatementOutcome> {
        const { clock, gateways } = this.context;
        const deadline = req.receivedAt + req.workClass.statementTimeoutMs;
        const service = req.workClass.service;
        for (const gateway of gateways.listUsable(service, req.tenant).slice(0, RelayLimits.maxGatewaysTried)) {
            if (clock.now() >= deadline) break;
            const startedAt = clock.now();
            const link = yield* gateway.obtainLink();
            if (hasCallerLeft(req)) return createFailedOutcome(ErrorKind.Busy, Diagnostics.callerLeft);
            if (link === undefined) {
                recordRelayCall(this.context, req, statement.id, gateway, startedAt, "unreachable");
                gateways.recordFailure(gateway, service);
                continue;
            }
            const requestFields = describeOperation(req, statement, clock.now());
            const createRequest = (call: number): RelayRequest => ({ kind: "run", call, ...requestFields });
            const timeoutMs = deadline + RelayLimits.responseMarginMs - clock.now();
            const { abandonment } = req;
            const response = yield* req.readOnly
                ? link.callRepeatable(timeoutMs, createRequest, abandonment)
                : link.call(timeoutMs, createRequest, abandonment);
            const outcome = this.completeCall(req, statement, gateway, startedAt, response);
            if (outcome !== undefined) return outcome;
        }
        return createFailedOutcome(ErrorKind.Busy, Diagnostics.noGateway, service);
    }

    public openTransaction(req: CallerRequest): CallerTransaction {
        return RelayedTransaction.create(this.context, req);
    }

    /** Returns the final outcome of a call; undefined if the statement may be sent to another gateway. */
    private completeCall(
        req: CallerRequest,
        statement: CallerStatement,
        gateway: RelayGateway,
        startedAt: number,
        response: RelayResponse | undefined,
    ): StatementOutcome | undefined {
        const service = req.workClass.service;
        if (response?.kind === "outcome") {
            recordRelayCall(this.context, req, statement.id, gateway, startedAt, response.outcome.error ?? "answered");
            if (response.floor !== undefined) req.floors.raise(service, response.floor);
            return { rows: response.outcome.rows, receipt: response.outcome.receipt, error: response.outcome.error, text: response.outcome.text };
        }
        recordRelayCall(this.context, req, statement.id, gateway, startedAt, response === undefined ? "lost" : "declined");
        this.context.gateways.recordFailure(gateway, service);
        return response !== undefined || req.readOnly ? undefined : createFailedOutcome(ErrorKind.UnknownOutcome, Diagnostics.outcomeUnknown);
    }
}
