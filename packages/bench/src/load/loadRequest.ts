import { StatementResult } from "@vanillarouter/base/statementResult";

/** A request before it is sent: one statement, or the statements of one transaction. */
export interface LoadRequest {
    readonly className: string;
    readonly statements: readonly string[];
    readonly isTransaction: boolean;
    /** Statements that change data. */
    readonly writes: number;
    /** Whether the caller allows it to run at most once. */
    readonly once: boolean;
    /** Returns what is wrong with the answer of the last statement; undefined if it can be right. */
    readonly findFault: (result: StatementResult) => string | undefined;
    /** Called when the request was answered. */
    readonly onAnswered: () => void;
}
