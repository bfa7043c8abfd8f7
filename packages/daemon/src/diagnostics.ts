import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1650 to 1699. */
export const Diagnostics = {} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
