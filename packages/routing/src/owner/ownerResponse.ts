import { LogPosition } from "@vanillarouter/base/logPosition";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { OwnerLoad } from "./ownerLoad";

/** The response of an upstream's owner to a request. */
export interface OwnerResponse {
    readonly requestId: string;
    readonly result: StatementResult;
    /** Log position of an acknowledged write, or of the last applied log entry visible to a read. */
    readonly at: LogPosition;
    readonly load: OwnerLoad;
}
