import { Operation } from "@vanillarouter/base/operation";
import { Diagnostics } from "@vanillarouter/session/diagnostics";
import { CallerRequest } from "@vanillarouter/session/entry/callerRequest";
import { createFailedOutcome } from "@vanillarouter/session/entry/createFailedOutcome";
import { hasCallerLeft } from "@vanillarouter/session/entry/hasCallerLeft";
import { StatementOutcome } from "@vanillarouter/session/entry/statementOutcome";
import { CallerStatement } from "@vanillarouter/session/model/callerStatement";
import { CallerTransaction } from "@vanillarouter/session/model/callerTransaction";
import { ErrorKind } from "@vanillarouter/session/model/errorKind";
import { StatementKind } from "@vanillarouter/session/model/statementKind";
import { describeOperation } from "./describeOperation";
import { recordRelayCall } from "./recordRelayCall";
import { RelayContext } from "./relayContext";
import { RelayGateway } from "./relayGateway";
import { RelayLimits } from "./relayLimits";
import { RelayLink } from "./relayLink";
import { RelayResponse } from "./relayResponse";

interface RemoteTransaction {
    readonly gateway: RelayGateway;
    readonly link: RelayLink;
    readonly transactionNumber: number;
}

/**
 * A transaction that a gateway holds open for this VM. The gateway rolls it back when the link to this VM closes, so a
 * transaction whose COMMIT was never sent is never committed.
 */
export class RelayedTransaction implements CallerTransaction {
    private remote: RemoteTransaction | undefined;
    private hasWritten = false;

    private constructor(private readonly context: RelayContext, private readonly req: CallerRequest) {}

    public static create(context: RelayContext, req: CallerRequest): RelayedTransaction {
        return new RelayedTransaction(context, req);
    }

    public runStatement(statement: CallerStatement): Operation<StatementOutcome> {
        if (!this.req.session.isReadOnly(statement)) this.hasWritten = true;
        return this.run(statement);
    }

    public commit(statement: CallerStatement): Operation<StatementOutcome> {
        return this.run(statement);
    }

    public rollBack(): void {
        const remote = this.remote;
        this.clearRemote();
        if (remote?.link.isOpen === true) remote.link.send({ kind: "roll-back", transaction: remote.transactionNumber });
    }

    private clearRemote(): void {
        this.remote?.link.endTransaction();
        this.remote = undefined;
    }

    private *run(statement: CallerStatement): Operation<StatementOutcome> {
        if (this.remote !== undefined) return yield* this.runAtGateway(this.remote, statement);
        const service = this.req.workClass.service;
        for (const gateway of this.context.gateways.listUsable(service, this.req.tenant).slice(0, RelayLimits.maxGatewaysTried)) {
            const startedAt = this.context.clock.now();
            const outcome = yield* this.beginAtGateway(gateway, statement, startedAt);
            if (outcome !== undefined) return outcome;
            this.context.gateways.recordFailure(gateway, service);
        }
        return createFailedOutcome(ErrorKind.Aborted, Diagnostics.noGateway, service);
    }

    /** Begins the transaction on a gateway with its first statement. Returns undefined if nothing was executed there. */
    private *beginAtGateway(gateway: RelayGateway, statement: CallerStatement, startedAt: number): Operation<StatementOutcome | undefined> {
        const link = yield* gateway.obtainLink();
        if (hasCallerLeft(this.req)) return createFailedOutcome(ErrorKind.Aborted, Diagnostics.callerLeft);
        if (link === undefined) {
            recordRelayCall(this.context, this.req, statement.id, gateway, startedAt, "unreachable");
            return undefined;
        }
        // Set before the call, so that a cancellation during the call rolls the transaction back.
        const remote = { gateway, link, transactionNumber: link.beginTransaction() };
        this.remote = remote;
        const response = yield* this.send(remote, statement, true);
        if (response?.kind !== "declined") return this.completeCall(remote, statement, startedAt, response);
        recordRelayCall(this.context, this.req, statement.id, gateway, startedAt, "declined");
        this.clearRemote();
        return undefined;
    }

    private *runAtGateway(remote: RemoteTransaction, statement: CallerStatement): Operation<StatementOutcome> {
        const startedAt = this.context.clock.now();
        return this.completeCall(remote, statement, startedAt, yield* this.send(remote, statement, false));
    }

    private send(remote: RemoteTransaction, statement: CallerStatement, isFirst: boolean): Operation<RelayResponse | undefined> {
        const { operation, ...requestFields } = describeOperation(this.req, statement, this.context.clock.now());
        return remote.link.call(this.req.workClass.statementTimeoutMs + RelayLimits.responseMarginMs, call => ({
            kind: "transact",
            call,
            transaction: remote.transactionNumber,
            operation: isFirst ? operation : undefined,
            ...requestFields,
        }), this.req.abandonment);
    }

    private completeCall({ gateway }: RemoteTransaction, statement: CallerStatement, startedAt: number, response: RelayResponse | undefined): StatementOutcome {
        if (response?.kind === "outcome") {
            const { rows, receipt, error, text } = response.outcome;
            recordRelayCall(this.context, this.req, statement.id, gateway, startedAt, error ?? "answered");
            if (statement.kind === StatementKind.Commit || error !== undefined) this.clearRemote();
            if (response.floor !== undefined) this.req.floors.raise(this.req.workClass.service, response.floor);
            return { rows, receipt, error, text };
        }
        recordRelayCall(this.context, this.req, statement.id, gateway, startedAt, response === undefined ? "lost" : "declined");
        this.context.gateways.recordFailure(gateway, this.req.workClass.service);
        this.rollBack();
        return statement.kind === StatementKind.Commit && this.hasWritten && response === undefined
            ? createFailedOutcome(ErrorKind.UnknownOutcome, Diagnostics.outcomeUnknown)
            : createFailedOutcome(ErrorKind.Aborted, Diagnostics.transactionLost, "the gateway did not answer");
    }
}
