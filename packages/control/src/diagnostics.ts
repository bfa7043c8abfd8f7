import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";

/** Result codes 1700 to 1729. */
export const Diagnostics = {
    usageInvalid: createDiagnostic(1700, "{0}", "Run vrctl --help."),
    vmUnreachable: createDiagnostic(1701, "cannot reach {0}: {1}", "Check --address or VR_ADDRESS, and that the VM runs."),
    answerInvalid: createDiagnostic(1702, "{0} answered in an unknown form", "Check that --address names an administration API."),
    fileInvalid: createDiagnostic(1703, "cannot read {0} as JSON: {1}", "Correct the file; docs/operators.md shows its form."),
} as const;
