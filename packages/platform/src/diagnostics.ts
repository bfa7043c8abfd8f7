import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1500 to 1599. */
export const Diagnostics = {} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
