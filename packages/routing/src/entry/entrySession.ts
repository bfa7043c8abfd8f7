import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { failWith } from "@vanillarouter/base/failWith";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { PrimaryClient } from "../group/primaryClient";
import { OwnerResponse } from "../owner/ownerResponse";
import { AdmittedRequest } from "./admittedRequest";
import { CallerSession } from "./callerSession";
import { CallerTransaction } from "./callerTransaction";
import { classifyStatement } from "./classifyStatement";
import { EntryContext } from "./entryContext";
import { EntryReads } from "./entryReads";
import { EntryWrites } from "./entryWrites";
import { SessionFloors } from "./sessionFloors";
import { SessionOptions } from "./sessionOptions";
import { StatementKind } from "./statementKind";
import { StatementRequest } from "./statementRequest";
import { StatementResponse } from "./statementResponse";

const emptyResult: StatementResult = { columns: [], rows: [], affectedRows: 0, insertId: 0, info: "" };

/** Number of merged tokens remembered per connection, which bounds its memory. */
const maxRememberedTokens = 8;

/** Implements the session of one caller connection. */
export class EntrySession implements CallerSession {
    private readonly floors = SessionFloors.create();
    private name: string | undefined;
    private transaction: CallerTransaction | undefined;
    private encodedToken: string | undefined;
    private encodedRevision = -1;
    /** Recent tokens whose floors are already merged. They are skipped, because checking a signature takes time. */
    private readonly mergedTokens = new Set<string>();

    private constructor(
        private readonly context: EntryContext,
        private readonly primaryClient: PrimaryClient,
        private readonly reads: EntryReads,
        private readonly writes: EntryWrites,
    ) {}

    public static create(context: EntryContext, primaryClient: PrimaryClient, reads: EntryReads, writes: EntryWrites): EntrySession {
        return new EntrySession(context, primaryClient, reads, writes);
    }

    public get token(): string {
        if (this.encodedToken === undefined || this.encodedRevision !== this.floors.revision) {
            this.encodedToken = this.context.tokens.encode(this.floors);
            this.encodedRevision = this.floors.revision;
        }
        return this.encodedToken;
    }

    public get inTransaction(): boolean {
        return this.transaction !== undefined;
    }

    /**
     * A name other than the current one starts a new session. Its floors are those of the token; without a token they have
     * to be confirmed by the primary of each group.
     */
    public attach(options: SessionOptions): Result<void, Failure> {
        const startsNewSession = options.name !== undefined && options.name !== this.name;
        if (!startsNewSession && (options.token === undefined || this.mergedTokens.has(options.token))) return Ok.EMPTY;
        const now = this.context.clock.now();
        const floors = startsNewSession ? SessionFloors.create() : this.floors;
        if (options.token !== undefined && !this.context.tokens.decodeInto(options.token, floors, now)) {
            return failWith(createFailure(Diagnostics.invalidToken, RunOutcome.DidNotRun));
        }
        this.rememberToken(options.token, startsNewSession);
        if (!startsNewSession) return Ok.EMPTY;
        this.name = options.name;
        this.floors.clear();
        if (options.token === undefined) this.floors.recordMissingToken();
        else this.floors.recordToken(!floors.isComplete);
        for (const [group, floor] of floors.byGroup) this.floors.raise(group, floor, now);
        return Ok.EMPTY;
    }

    public *execute(req: StatementRequest): Operation<Result<StatementResponse, Failure>> {
        const admitted = this.admit(req);
        if (admitted.err) return admitted;
        const request = admitted.val;
        const { workClass, kind } = request;
        const revision = this.floors.revision;
        const result = yield* this.dispatch(request);
        const labels = `class="${workClass.name}",rank="${workClass.rank}",kind="${kind}"`;
        this.context.metrics.record(workClass.name, labels, this.context.clock.now() - req.arrivedAt, workClass.targetMs, result);
        if (result.err || revision === this.floors.revision) return result;
        return Ok({ ...result.val, token: this.token });
    }

    public *close(): Operation<void> {
        const transaction = this.transaction;
        this.transaction = undefined;
        if (transaction !== undefined) yield* transaction.rollBack();
    }

    private rememberToken(token: string | undefined, startsNewSession: boolean): void {
        if (startsNewSession || this.mergedTokens.size >= maxRememberedTokens) this.mergedTokens.clear();
        if (token !== undefined) this.mergedTokens.add(token);
    }

    private admit(req: StatementRequest): Result<AdmittedRequest, Failure> {
        const configuration = this.context.configuration.current;
        if (configuration === undefined) return failWith(createFailure(Diagnostics.noConfiguration, RunOutcome.DidNotRun));
        const workClass = configuration.classes.get(req.className);
        if (workClass === undefined) return failWith(createFailure(Diagnostics.unknownClass, RunOutcome.DidNotRun, req.className));
        const group = configuration.groups.get(req.group);
        if (group === undefined) return failWith(createFailure(Diagnostics.unknownGroup, RunOutcome.DidNotRun, req.group));
        const kind = classifyStatement(req.sql);
        if (workClass.readOnly && (kind === StatementKind.Write || kind === StatementKind.Begin)) {
            return failWith(createFailure(Diagnostics.readOnlyClass, RunOutcome.DidNotRun, req.className));
        }
        return Ok({ req, kind, workClass, group, deadline: req.arrivedAt + (req.timeoutMs ?? workClass.targetMs) });
    }

    private *dispatch(request: AdmittedRequest): Operation<Result<StatementResponse, Failure>> {
        if (this.transaction !== undefined) return yield* this.continueTransaction(this.transaction, request);
        switch (request.kind) {
            case StatementKind.Read:
                return yield* this.read(request);
            case StatementKind.Write:
                return this.recordWrite(request, yield* this.writes.execute(request));
            case StatementKind.Begin:
                return yield* this.begin(request);
            case StatementKind.Commit:
                // Unlike in a MySQL server, COMMIT fails here: a caller whose transaction was lost must not conclude that it was committed.
                return failWith(createFailure(Diagnostics.noTransaction, RunOutcome.DidNotRun));
            case StatementKind.Rollback:
                return Ok({ result: emptyResult });
        }
    }

    private *read(request: AdmittedRequest): Operation<Result<StatementResponse, Failure>> {
        if (request.workClass.maxAgeMs !== undefined) this.context.metrics.eligibleReads++;
        const result = yield* this.reads.execute(request, this.floors);
        return result.map(response => ({ result: response.result, upstream: response.load.upstream }));
    }

    private *begin(request: AdmittedRequest): Operation<Result<StatementResponse, Failure>> {
        const beginResult = yield* CallerTransaction.begin(this.context, this.primaryClient, request);
        if (beginResult.err) {
            if (!this.writes.isRefusedRetry(request, beginResult.val)) return beginResult;
            // A success would make the caller send the transaction's statements again, outside any transaction.
            const resolved = yield* this.writes.resolve(request, request.req.requestId);
            return resolved.err ? resolved : failWith(createFailure(Diagnostics.alreadyRan, RunOutcome.Ran, request.req.requestId));
        }
        this.transaction = beginResult.val;
        return Ok({ result: emptyResult, upstream: beginResult.val.upstream });
    }

    private *continueTransaction(transaction: CallerTransaction, request: AdmittedRequest): Operation<Result<StatementResponse, Failure>> {
        switch (request.kind) {
            case StatementKind.Begin:
                return failWith(createFailure(Diagnostics.transactionOpen, RunOutcome.DidNotRun));
            case StatementKind.Commit: {
                this.transaction = undefined;
                return this.recordWrite(request, yield* transaction.commit(request, this.writes));
            }
            case StatementKind.Rollback:
                this.transaction = undefined;
                yield* transaction.rollBack();
                return Ok({ result: emptyResult, upstream: transaction.upstream });
            default: {
                const result = yield* transaction.execute(request);
                return result.map(value => ({ result: value, upstream: transaction.upstream }));
            }
        }
    }

    private recordWrite(request: AdmittedRequest, result: Result<OwnerResponse, Failure>): Result<StatementResponse, Failure> {
        if (result.err) return result;
        const { at, load, result: statementResult } = result.val;
        this.floors.raise(request.group.name, at, this.context.clock.now());
        this.context.router.recordLogEntry(request.group.name, at);
        return Ok({ result: statementResult, upstream: load.upstream });
    }
}
