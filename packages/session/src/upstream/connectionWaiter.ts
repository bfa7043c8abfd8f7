import { ConnectionChoiceKind } from "./connectionChoiceKind";

/** Work that waits for a connection of one pool. */
export interface ConnectionWaiter {
    /** Rank of the class of work, with 0 for the most urgent. */
    readonly rank: number;
    /** Local time in milliseconds since which it waits. */
    readonly since: number;
    /** Waiters with the same owner have the same choice. */
    readonly owner: unknown;
    /** Returns what it could do now. `Open` also stands for a refusal that is certain by now. */
    choose(): ConnectionChoiceKind;
    wake(): void;
}
