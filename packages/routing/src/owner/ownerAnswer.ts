import { LogPosition } from "@vanillarouter/base/logPosition";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { OwnerLoad } from "./ownerLoad";

/** The answer of an upstream's owner. */
export interface OwnerAnswer {
    readonly requestId: string;
    readonly result: StatementResult;
    /** Entry of an acknowledged write, or last applied entry that a read saw. */
    readonly at: LogPosition;
    readonly load: OwnerLoad;
}
