import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { WorkClass } from "@vanillarouter/base/workClass";
import { StatementKind } from "./statementKind";
import { StatementRequest } from "./statementRequest";

/** A statement that passed the checks of the entry role, with the configuration needed to route it. */
export interface AdmittedRequest {
    readonly req: StatementRequest;
    readonly kind: StatementKind;
    readonly workClass: WorkClass;
    readonly group: DatabaseGroup;
    /** Time on the entry VM's clock by which the caller wants the response, in milliseconds. */
    readonly deadline: number;
}
