import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { Signal } from "@vanillarouter/base/signal";
import { CallerRequest } from "@vanillarouter/session/entry/callerRequest";
import { StatementOutcome } from "@vanillarouter/session/entry/statementOutcome";
import { CallerStatement } from "@vanillarouter/session/model/callerStatement";
import { CallerTransaction } from "@vanillarouter/session/model/callerTransaction";
import { ErrorKind } from "@vanillarouter/session/model/errorKind";
import { OperationExecutor } from "@vanillarouter/session/model/operationExecutor";

/** A test double for the executor of a gateway, which records the statements that it gets. */
export class FakeExecutor implements OperationExecutor {
    /** Ids of the executed statements, without COMMIT. */
    public readonly executedIds: string[] = [];
    /** Ids of the executed COMMIT statements. */
    public readonly committedIds: string[] = [];
    public rollbackCount = 0;
    /** While true, statements wait for `unblocked` before they return. */
    public isBlocked = false;
    public readonly unblocked = Signal.create<void>();
    /** Ids of statements whose callers left while they waited for `unblocked`. */
    public readonly droppedIds: string[] = [];
    public lastRequest: CallerRequest | undefined;
    private position = 0;

    private constructor(private readonly name: string) {}

    public static create(name: string): FakeExecutor {
        return new FakeExecutor(name);
    }

    public *runStatement(req: CallerRequest, statement: CallerStatement): Operation<StatementOutcome> {
        this.lastRequest = req;
        this.executedIds.push(statement.id);
        if (this.isBlocked) yield* race<void>([this.unblocked.wait(), req.abandonment!.wait()]);
        if (req.abandonment!.isAbandoned) {
            this.droppedIds.push(statement.id);
            return { rows: [], receipt: undefined, error: ErrorKind.Busy, text: "dropped" };
        }
        if (!req.readOnly) req.floors.raise(req.workClass.service, { term: 1, position: ++this.position });
        return this.createOutcome(statement);
    }

    public openTransaction(req: CallerRequest): CallerTransaction {
        this.lastRequest = req;
        return {
            runStatement: statement => this.runInTransaction(statement),
            commit: statement => this.commit(req, statement),
            rollBack: () => void this.rollbackCount++,
        };
    }

    private *runInTransaction(statement: CallerStatement): Operation<StatementOutcome> {
        this.executedIds.push(statement.id);
        if (this.isBlocked) yield* this.unblocked.wait();
        return this.createOutcome(statement);
    }

    private *commit(req: CallerRequest, statement: CallerStatement): Operation<StatementOutcome> {
        this.committedIds.push(statement.id);
        if (this.isBlocked) yield* this.unblocked.wait();
        req.floors.raise(req.workClass.service, { term: 1, position: ++this.position });
        return this.createOutcome(statement);
    }

    private createOutcome(statement: CallerStatement): StatementOutcome {
        return { rows: [`row of ${statement.id}`], receipt: `${this.name}/${statement.id}`, error: undefined, text: "" };
    }
}
