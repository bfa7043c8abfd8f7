import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";

/** Result codes 1700 to 1729. */
export const Diagnostics = {
    usageInvalid: createDiagnostic(1700, "{0}", "Run vrctl --help."),
    vmUnreachable: createDiagnostic(1701, "cannot reach {0}: {1}", "Check --address or VR_ADDRESS, and that the VM runs."),
    answerInvalid: createDiagnostic(1702, "{0} answered in an unknown form", "Check that --address names an administration API."),
    fileInvalid: createDiagnostic(1703, "cannot read {0} as JSON: {1}", "Correct the file; docs/operators.md shows its form."),
    logUnreadable: createDiagnostic(1704, "cannot read the log {0}: {1}", "Check the path."),
    requestNotLogged: createDiagnostic(
        1705,
        "no line about {0} among {1} lines",
        "Give the logs of all VMs; lines beyond the budget are left out and counted as log.omitted.",
    ),
} as const;
