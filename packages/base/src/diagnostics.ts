import { DiagnosticMessage } from "./diagnosticMessage";

function message(code: number, text: string, remedy: string): DiagnosticMessage {
    return { code, text, remedy };
}

/** Result codes 1000 to 1099. */
export const Diagnostics = {
    internalError: message(1000, "internal error: {0}", "Report it with the log line of the same code; the daemon goes on serving."),
    settingsNotReadable: message(1001, "cannot read settings file {0}: {1}", "Check the path and the permissions."),
    settingsNotJson: message(1002, "settings file {0} is not valid JSON: {1}", "Correct the JSON at the given place."),
    settingsInvalid: message(1003, "settings file {0} has {1} faults: {2}", "Correct every listed path."),
} as const;
