import { Operation } from "@vanillarouter/base/operation";
import { ServiceGroups } from "../cluster/serviceGroups";
import { CallerStatement } from "../model/callerStatement";
import { CallerTransaction } from "../model/callerTransaction";
import { OperationExecutor } from "../model/operationExecutor";
import { CallerRequest } from "./callerRequest";
import { EntryContext } from "./entryContext";
import { OpenTransaction } from "./openTransaction";
import { StatementOutcome } from "./statementOutcome";
import { StatementRunner } from "./statementRunner";

/** Runs operations on this VM's own upstream connections. */
export class LocalExecutor implements OperationExecutor {
    private constructor(private readonly context: EntryContext, private readonly groups: ServiceGroups, private readonly runner: StatementRunner) {}

    public static create(context: EntryContext, groups: ServiceGroups): LocalExecutor {
        return new LocalExecutor(context, groups, StatementRunner.create(context));
    }

    public runStatement(req: CallerRequest, statement: CallerStatement): Operation<StatementOutcome> {
        return this.runner.run(this.groups.getOrCreate(req.workClass.service), req, statement);
    }

    public openTransaction(req: CallerRequest): CallerTransaction {
        return OpenTransaction.create(this.context, this.groups.getOrCreate(req.workClass.service), req);
    }
}
