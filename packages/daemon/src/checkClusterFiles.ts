import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFileSync } from "node:fs";

interface ClusterFiles {
    readonly certificateFile: string;
    readonly privateKeyFile: string;
    readonly authorityFile: string;
}

/**
 * Checks that a VM's certificate has not expired, belongs to the private key and is signed by the certificate authority. Returns
 * faults by setting key. Throws if a file cannot be read or parsed.
 */
export function checkClusterFiles(files: ClusterFiles): Readonly<Record<string, string>> {
    const certificate = new X509Certificate(readFileSync(files.certificateFile));
    const authority = new X509Certificate(readFileSync(files.authorityFile));
    const faults: Record<string, string> = {};
    if (!certificate.checkPrivateKey(createPrivateKey(readFileSync(files.privateKeyFile)))) faults["privateKeyFile"] = "does not match the certificate";
    if (!certificate.verify(authority.publicKey)) faults["certificateFile"] = "is not signed by the authority";
    if (Date.parse(certificate.validTo) < Date.now()) faults["certificateFile"] = `expired at ${certificate.validTo}`;
    return faults;
}
