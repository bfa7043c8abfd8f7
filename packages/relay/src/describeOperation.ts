import { CallerRequest } from "@vanillarouter/session/entry/callerRequest";
import { CallerStatement } from "@vanillarouter/session/model/callerStatement";
import { RelayRequest } from "./relayRequest";

type RunRequest = Extract<RelayRequest, { readonly kind: "run"; }>;

/** Returns the fields of a relay request that describe an operation, its statement and the session. */
export function describeOperation(req: CallerRequest, statement: CallerStatement, now: number): Pick<RunRequest, "operation" | "statement" | "session"> {
    return {
        operation: {
            id: req.id,
            workClass: req.workClass,
            tenant: req.tenant,
            floor: req.floors.find(req.workClass.service),
            waitedMs: Math.max(0, now - req.receivedAt),
            readOnly: req.readOnly,
            mayRead: req.mayRead,
        },
        statement,
        session: {
            values: [...req.session.values],
            prepared: req.session.findPrepared(statement),
        },
    };
}
