import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";

/** Result codes 1204 and 1205, with which a statement is refused because it gets no slot in time. */
export const Diagnostics = {
    deadlineNotFeasible: createDiagnostic(1204, "the target of {0} ms cannot be met any more", "Retry later; the system is overloaded."),
    shareExceeded: createDiagnostic(1205, "class {0} exceeds its ordinary share during an overload", "Retry later or reduce the load of this class."),
} as const;
