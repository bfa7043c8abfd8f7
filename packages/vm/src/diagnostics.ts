import { createDiagnostic } from "@vanillarouter/base/createDiagnostic";
import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

/** Result codes 1400 to 1499. */
export const Diagnostics = {
    linkNotOpened: createDiagnostic(
        1400,
        "no link to VM {0} could be opened: {1}",
        "Check that the VM is up and that its certificate is from the cluster's authority.",
    ),
    linkBroken: createDiagnostic(1401, "the link to VM {0} broke: {1}", "Retried by the entry VM if the outcome allows."),
    linkTimedOut: createDiagnostic(1402, "VM {0} did not answer within {1} ms", "Retried by the entry VM if the outcome allows."),
    rolesNotHeld: createDiagnostic(1403, "VM {0} renews its membership and takes no work", "Retried by the entry VM with the current owner."),
    listenFailed: createDiagnostic(1404, "cannot listen on {0}:{1}: {2}", "Check the address and that the port is free."),
    certificateInvalid: createDiagnostic(1405, "the VM's certificate or key cannot be used: {0}", "Check the certificate files of the settings."),
    requestMalformed: createDiagnostic(1406, "VM {0} refused a malformed request: {1}", "Check that all VMs run compatible versions."),
    storeWatchFailed: createDiagnostic(1407, "watch of configuration shard {0} failed: {1}", "None; the VM goes on with the configuration it has and retries."),
    shardRejected: createDiagnostic(1408, "configuration shard {0} of version {1} from {2} was rejected: {3}", "None; the VM keeps the last valid version."),
    notReady: createDiagnostic(
        1409,
        "VM {0} has no complete configuration or has not joined after {1} ms",
        "Check the platform's store and the seeds of the settings.",
    ),
} as const satisfies Readonly<Record<string, DiagnosticMessage>>;
