import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { OutcomeRequest } from "@vanillarouter/routing/entry/outcomeRequest";
import { StatementKind } from "@vanillarouter/routing/entry/statementKind";
import { TransactionEndRequest } from "@vanillarouter/routing/entry/transactionEndRequest";
import { TransactionStatement } from "@vanillarouter/routing/entry/transactionStatement";
import { ConfirmedPosition } from "@vanillarouter/routing/freshness/confirmedPosition";
import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";
import { OwnerRequest } from "@vanillarouter/routing/owner/ownerRequest";
import { OwnerResponse } from "@vanillarouter/routing/owner/ownerResponse";
import { TransactionRequest } from "@vanillarouter/routing/owner/transactionRequest";
import { Err, Ok, Result } from "ts-results";
import { PeerLink } from "./peerLink";
import { WireResponse } from "./wireResponse";

/** Client of the owner role of another VM. */
export class RemoteOwnerLink implements OwnerLink {
    private constructor(private readonly openLink: () => PeerLink) {}

    /** Creates the client; `openLink` returns a usable link for each call. */
    public static create(openLink: () => PeerLink): RemoteOwnerLink {
        return new RemoteOwnerLink(openLink);
    }

    public *execute(req: OwnerRequest): Operation<Result<OwnerResponse, Failure>> {
        const lostOutcome = req.kind === StatementKind.Write ? RunOutcome.Unknown : RunOutcome.DidNotRun;
        const response = yield* this.openLink().callOwner("execute", req, req.timeoutMs, lostOutcome);
        return restoreResponse(unwrapWireResponse<OwnerResponse>(response));
    }

    public *begin(req: TransactionRequest): Operation<Result<void, Failure>> {
        const response = yield* this.openLink().callOwner("begin", req, req.timeoutMs, RunOutcome.DidNotRun);
        const result = unwrapWireResponse<unknown>(response);
        return result.err ? result : Ok.EMPTY;
    }

    public *executeInTransaction(req: TransactionStatement): Operation<Result<StatementResult, Failure>> {
        const response = yield* this.openLink().callOwner("statement", req, req.timeoutMs, RunOutcome.Unknown);
        const result = unwrapWireResponse<StatementResult>(response);
        return result.err ? result : Ok(restoreRows(result.val));
    }

    public *endTransaction(req: TransactionEndRequest): Operation<Result<OwnerResponse, Failure>> {
        const lostOutcome = req.commit ? RunOutcome.Unknown : RunOutcome.DidNotRun;
        const response = yield* this.openLink().callOwner("end", req, req.timeoutMs, lostOutcome);
        return restoreResponse(unwrapWireResponse<OwnerResponse>(response));
    }

    public *resolveOutcome(req: OutcomeRequest): Operation<Result<OwnerResponse, Failure>> {
        const response = yield* this.openLink().callOwner("resolve", req, req.timeoutMs, RunOutcome.Unknown);
        // If the query itself failed, the outcome stays unknown; only a response of the owner can confirm that the request did not run.
        if (response.err) return Err({ ...response.val, outcome: RunOutcome.Unknown });
        return restoreResponse(unwrapWireResponse<OwnerResponse>(response));
    }

    public *confirmPosition(group: string, upstream: string, timeoutMs: number): Operation<Result<ConfirmedPosition, Failure>> {
        const req = { group, upstream, timeoutMs };
        const response = yield* this.openLink().callOwner("confirm", req, timeoutMs, RunOutcome.DidNotRun);
        return unwrapWireResponse<ConfirmedPosition>(response);
    }
}

function unwrapWireResponse<T>(response: Result<unknown, Failure>): Result<T, Failure> {
    if (response.err) return response;
    const wireResponse = response.val as WireResponse<T>;
    return "failure" in wireResponse ? Err(wireResponse.failure) : Ok(wireResponse.value);
}

function restoreResponse(response: Result<OwnerResponse, Failure>): Result<OwnerResponse, Failure> {
    return response.err ? response : Ok({ ...response.val, result: restoreRows(response.val.result) });
}

/** Converts null back to undefined, which represents SQL NULL in rows but has no equivalent in JSON. */
function restoreRows(result: StatementResult): StatementResult {
    const rows = result.rows.map(row => row.includes(null as never) ? row.map(value => value ?? undefined) : row);
    return { ...result, rows };
}
