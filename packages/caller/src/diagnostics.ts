import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1100 to 1199. */
export const Diagnostics = {} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
