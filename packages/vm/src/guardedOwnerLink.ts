import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { OutcomeRequest } from "@vanillarouter/routing/entry/outcomeRequest";
import { TransactionEndRequest } from "@vanillarouter/routing/entry/transactionEndRequest";
import { TransactionStatement } from "@vanillarouter/routing/entry/transactionStatement";
import { ConfirmedPosition } from "@vanillarouter/routing/freshness/confirmedPosition";
import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";
import { OwnerRequest } from "@vanillarouter/routing/owner/ownerRequest";
import { OwnerResponse } from "@vanillarouter/routing/owner/ownerResponse";
import { TransactionRequest } from "@vanillarouter/routing/owner/transactionRequest";
import { Err, Result } from "ts-results";

/** The owner role of this VM, with calls refused while the VM may not use its roles. Rollbacks are always allowed. */
export class GuardedOwnerLink implements OwnerLink {
    private constructor(private readonly owner: OwnerLink, private readonly checkRoles: () => Failure | undefined) {}

    public static create(owner: OwnerLink, checkRoles: () => Failure | undefined): GuardedOwnerLink {
        return new GuardedOwnerLink(owner, checkRoles);
    }

    public execute(req: OwnerRequest): Operation<Result<OwnerResponse, Failure>> {
        return this.guard(() => this.owner.execute(req), RunOutcome.DidNotRun);
    }

    public begin(req: TransactionRequest): Operation<Result<void, Failure>> {
        return this.guard(() => this.owner.begin(req), RunOutcome.DidNotRun);
    }

    public executeInTransaction(req: TransactionStatement): Operation<Result<StatementResult, Failure>> {
        return this.guard(() => this.owner.executeInTransaction(req), RunOutcome.DidNotRun);
    }

    public endTransaction(req: TransactionEndRequest): Operation<Result<OwnerResponse, Failure>> {
        return req.commit ? this.guard(() => this.owner.endTransaction(req), RunOutcome.DidNotRun) : this.owner.endTransaction(req);
    }

    /** A refusal has the outcome Unknown because it says nothing about the request whose outcome is queried. */
    public resolveOutcome(req: OutcomeRequest): Operation<Result<OwnerResponse, Failure>> {
        return this.guard(() => this.owner.resolveOutcome(req), RunOutcome.Unknown);
    }

    public confirmPosition(group: string, upstream: string, timeoutMs: number): Operation<Result<ConfirmedPosition, Failure>> {
        return this.guard(() => this.owner.confirmPosition(group, upstream, timeoutMs), RunOutcome.DidNotRun);
    }

    private *guard<T>(call: () => Operation<Result<T, Failure>>, outcome: RunOutcome): Operation<Result<T, Failure>> {
        const refusal = this.checkRoles();
        return refusal === undefined ? yield* call() : Err({ ...refusal, outcome });
    }
}
