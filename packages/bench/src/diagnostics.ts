import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

function message(code: number, text: string, remedy: string): DiagnosticMessage {
    return { code, text, remedy };
}

/** Result codes 1760 to 1799. */
export const Diagnostics = {
    seedInvalid: message(1760, "seed {0} is not a whole number of at least 0", "Pass a whole number with --seed."),
    deploymentUnknown: message(1761, "unknown deployment {0}", "Pass racja or meethi with --deployment, or leave it out."),
} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
