import { Operation } from "@vanillarouter/base/operation";
import { CallerRequest } from "../entry/callerRequest";
import { StatementOutcome } from "../entry/statementOutcome";
import { CallerStatement } from "./callerStatement";
import { CallerTransaction } from "./callerTransaction";

/** Runs callers' operations, either on this VM's own upstream connections or through another VM. */
export interface OperationExecutor {
    /** Runs a single statement to its final outcome. After a commit, raises the session's minimum log position (its floor). */
    runStatement(req: CallerRequest, statement: CallerStatement): Operation<StatementOutcome>;
    openTransaction(req: CallerRequest): CallerTransaction;
}
