import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1400 to 1499. */
export const Diagnostics = {} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
