import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1600 to 1649. */
export const Diagnostics = {} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
