import { Operation } from "@vanillarouter/base/operation";
import { Diagnostics } from "../diagnostics";
import { AdmissionControl } from "../model/admissionControl";
import { ErrorKind } from "../model/errorKind";
import { CallerIdentity } from "./callerIdentity";
import { createFailedOutcome } from "./createFailedOutcome";
import { StatementOutcome } from "./statementOutcome";

/**
 * Waits for the admission of an operation and returns the failed outcome of one that must not run. A key may be withdrawn or get another
 * tenant during the wait; the operation then needs the admission of the tenant that holds the key now.
 */
export function* admitOperation(identity: CallerIdentity, admission: AdmissionControl): Operation<StatementOutcome | undefined> {
    for (;;) {
        if (!identity.isPermitted) return createFailedOutcome(ErrorKind.NotAuthenticated, Diagnostics.keyNotAccepted);
        const { tenant } = identity;
        if (tenant === undefined) return undefined;
        const { isAdmitted, retryDelayMs } = yield* admission.admit(tenant);
        if (!isAdmitted) return createFailedOutcome(ErrorKind.Busy, Diagnostics.quotaExceeded, Math.max(1, Math.ceil(retryDelayMs)));
        if (identity.isPermitted && identity.tenant === tenant) return undefined;
    }
}
