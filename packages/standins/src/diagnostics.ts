import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";
import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1730 to 1759. */
export const Diagnostics = {
    groupOptionInvalid: createDiagnostic(1730, "vr-group option {0}: {1}", "Correct the option; `vr-group --help` lists all of them."),
} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
