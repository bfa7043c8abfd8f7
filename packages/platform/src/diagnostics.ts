import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";
import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1500 to 1599. */
export const Diagnostics = {
    storeUnreachable: createDiagnostic(
        1500,
        "the platform's store did not answer {0}: {1}",
        "Retry when the store answers again; VMs continue to use their current configuration.",
    ),
    storeRefused: createDiagnostic(1501, "the platform's store refused {0}: {1}", "Retry later; the store limits its calls."),
    storeResponseInvalid: createDiagnostic(1502, "the platform's store answered {0} in an unknown form", "Check the address of the platform in the settings."),
    configurationInvalid: createDiagnostic(1503, "the configuration has {0} faults: {1}", "Correct every listed path."),
    shardTooLarge: createDiagnostic(1504, "configuration shard {0} would have {1} bytes, above the limit of {2}", "Shorten or remove entries of this shard."),
    configurationConflict: createDiagnostic(
        1505,
        "{0} was changed in the meantime",
        "Read the current value, shown in the details, and apply the change to it.",
    ),
    changeOutcomeUnknown: createDiagnostic(
        1506,
        "it is not known whether change {0} took effect: {1}",
        "Look for the change id in the history before repeating the change.",
    ),
    shardUnreadable: createDiagnostic(
        1507,
        "configuration shard {0} in the store is malformed: {1}",
        "Restore the shard from the history; VMs keep the last valid version.",
    ),
    unknownAccountClass: createDiagnostic(1508, "account {0} names class {1}, which does not exist", "Create the class first, or use an existing one."),
    leaseLost: createDiagnostic(1509, "lease {0} has expired", "Acquire it again."),
    emptyChange: createDiagnostic(1510, "the change edits nothing", "Specify at least one entry to set or remove."),
    sessionNotCreated: createDiagnostic(1511, "no lease session could be created: {0}", "Retry when the store answers again."),
    callLimitReached: createDiagnostic(1512, "this VM has {0} calls to the store open, its limit", "Retry later."),
    duplicateUpstream: createDiagnostic(1513, "upstream id {0} is used by the groups {1} and {2}", "Give every upstream a unique id."),
} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
