import { LogPosition } from "@vanillarouter/base/logPosition";
import { Rank } from "@vanillarouter/base/rank";
import { StatementKind } from "../entry/statementKind";

/** A single statement sent by an entry VM to the owner of an upstream. */
export interface OwnerRequest {
    readonly requestId: string;
    readonly upstream: string;
    readonly group: string;
    readonly className: string;
    readonly rank: Rank;
    readonly franchisee: string;
    readonly kind: StatementKind.Read | StatementKind.Write;
    readonly sql: string;
    /** Time left until the caller's deadline when the request was sent, in milliseconds. */
    readonly timeoutMs: number;
    /** Log position that the upstream must have applied before a read. */
    readonly floor?: LogPosition;
    /** Maximum proven age of the data for a read, in milliseconds. Zero requires the latest acknowledged state. */
    readonly maxAgeMs?: number;
    /** For writes: term in which the entry VM believes the upstream to be primary. */
    readonly term?: number;
    /** Whether the caller allows the statement to run more than once. */
    readonly repeatable: boolean;
}
