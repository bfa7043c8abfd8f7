import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1300 to 1399. */
export const Diagnostics = {} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
