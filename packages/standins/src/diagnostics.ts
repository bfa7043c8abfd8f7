import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1730 to 1759. */
export const Diagnostics = {} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
