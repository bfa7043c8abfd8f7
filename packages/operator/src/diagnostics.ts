import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";

/** Result codes 1600 to 1649. */
export const Diagnostics = {
    notAuthorized: createDiagnostic(
        1600,
        "the bearer credential is missing or wrong",
        "Send the header Authorization: Bearer with administration.credential of the settings.",
    ),
    routeNotFound: createDiagnostic(1601, "there is no {0}", "docs/operators.md lists the paths."),
    methodNotAllowed: createDiagnostic(1602, "{0} is not allowed for {1}", "docs/operators.md lists the methods of each path."),
    bodyTooLarge: createDiagnostic(1603, "the request body is larger than {0} bytes", "Send a smaller change."),
    requestInvalid: createDiagnostic(1604, "the request has {0} faults: {1}", "Correct every listed path."),
    noConfiguration: createDiagnostic(1605, "this VM has no configuration yet", "Wait until it has one, or ask another VM."),
    itemNotFound: createDiagnostic(1606, "there is no {0} named {1}", "List the existing ones."),
} as const;
