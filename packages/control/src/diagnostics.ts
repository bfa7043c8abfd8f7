import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

function message(code: number, text: string, remedy: string): DiagnosticMessage {
    return { code, text, remedy };
}

/** Result codes 1700 to 1729. */
export const Diagnostics = {
    usageInvalid: message(1700, "{0}", "Run vrctl --help."),
    vmUnreachable: message(1701, "cannot reach {0}: {1}", "Check --address or VR_ADDRESS, and that the VM runs."),
    answerInvalid: message(1702, "{0} answered in an unknown form", "Check that --address names an administration API."),
    fileInvalid: message(1703, "cannot read {0} as JSON: {1}", "Correct the file; docs/operators.md shows its form."),
} as const;
