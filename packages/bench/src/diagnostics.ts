import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1760 to 1799. */
export const Diagnostics = {} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
