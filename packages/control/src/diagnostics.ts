import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1700 to 1729. */
export const Diagnostics = {} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
