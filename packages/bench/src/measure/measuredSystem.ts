import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { StatementAnswer } from "@vanillarouter/routing/entry/statementAnswer";
import { StatementRequest } from "@vanillarouter/routing/entry/statementRequest";
import { Result } from "ts-results";

/** What carries the statements of a run: the product's own classes or the naive router. */
export interface MeasuredSystem {
    /**
     * Runs a statement of a session on a VM. The tokens are those that the session got and that no later one covers;
     * undefined if it lost them.
     */
    execute(vm: number, session: string, tokens: readonly string[] | undefined, req: StatementRequest): Operation<Result<StatementAnswer, Failure>>;
}
