import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";

/** Result codes 1700 to 1729. */
export const Diagnostics = {
    usageInvalid: createDiagnostic(1700, "{0}", "Run vrctl --help."),
    vmUnreachable: createDiagnostic(1701, "cannot reach {0}: {1}", "Check --address or VR_ADDRESS, and that the VM runs."),
    responseInvalid: createDiagnostic(1702, "{0} answered in an unknown form", "Check that --address names an administration API."),
    fileInvalid: createDiagnostic(1703, "cannot read {0} as JSON: {1}", "Correct the file; docs/operators.md shows its format."),
    logUnreadable: createDiagnostic(1704, "cannot read the log {0}: {1}", "Check the path."),
    requestNotLogged: createDiagnostic(
        1705,
        "no line about {0} among {1} lines",
        "Pass the logs of all VMs. Lines that a VM omitted because of its log limits are counted in its log.omitted events.",
    ),
} as const;
