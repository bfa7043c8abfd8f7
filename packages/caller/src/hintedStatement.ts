import { Hint } from "./hint";

/** A statement and what its hint comment said. */
export interface HintedStatement {
    readonly hint: Hint;
    /** The statement without hint comment and surrounding white space. */
    readonly sql: string;
}
