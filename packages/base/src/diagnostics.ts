import { createDiagnostic } from "./createDiagnostic";

/** Result codes 1000 to 1099. */
export const Diagnostics = {
    internalError: createDiagnostic(1000, "internal error: {0}", "Report it with the log line that contains this code; the daemon continues to serve."),
    settingsNotReadable: createDiagnostic(1001, "cannot read settings file {0}: {1}", "Check the path and the permissions."),
    settingsNotJson: createDiagnostic(1002, "settings file {0} is not valid JSON: {1}", "Correct the JSON at the reported position."),
    settingsInvalid: createDiagnostic(1003, "settings file {0} has {1} faults: {2}", "Correct every listed path."),
} as const;
