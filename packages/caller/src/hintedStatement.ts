import { Hint } from "./hint";

/** A statement and its parsed hint comment. */
export interface HintedStatement {
    readonly hint: Hint;
    /** The statement without the hint comment and surrounding white space. */
    readonly sql: string;
}
