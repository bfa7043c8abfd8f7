import { Operation } from "@vanillarouter/base/operation";
import { Admission } from "./admission";

/** Decides whether a tenant may start another operation, a single statement or a transaction. */
export interface AdmissionControl {
    /** Called once for each operation, before anything of it is sent to an upstream. */
    admit(tenant: string): Operation<Admission>;
}
