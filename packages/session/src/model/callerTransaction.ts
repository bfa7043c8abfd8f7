import { Operation } from "@vanillarouter/base/operation";
import { StatementOutcome } from "../entry/statementOutcome";
import { CallerStatement } from "./callerStatement";

/** An open transaction of a caller. An error ends it and rolls it back, unless the error says that the outcome is unknown. */
export interface CallerTransaction {
    runStatement(statement: CallerStatement): Operation<StatementOutcome>;
    commit(statement: CallerStatement): Operation<StatementOutcome>;
    /** Starts the rollback and returns without waiting for the upstream. */
    rollBack(): void;
}
