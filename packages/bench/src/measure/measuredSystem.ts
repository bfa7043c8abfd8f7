import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { StatementAnswer } from "@vanillarouter/routing/statementAnswer";
import { StatementRequest } from "@vanillarouter/routing/statementRequest";
import { Result } from "ts-results";

/** What carries the statements of a run: the product's own classes or the naive router. */
export interface MeasuredSystem {
    /** Whether sessions get tokens; without them, a session expects to see its writes all the same. */
    readonly givesTokens: boolean;
    /** Runs a statement of a session on a VM. The token is the last one that the session got; undefined if it lost it. */
    execute(vm: number, session: string, token: string | undefined, req: StatementRequest): Operation<Result<StatementAnswer, Failure>>;
}
