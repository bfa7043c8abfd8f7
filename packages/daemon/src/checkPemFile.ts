import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFileSync } from "node:fs";

/** Returns an error message if a PEM file does not contain a valid certificate or private key, as `kind` requires; otherwise undefined. */
export function checkPemFile(file: string, kind: "certificate" | "private key"): string | undefined {
    try {
        const text = readFileSync(file, "utf8");
        if (kind === "certificate") new X509Certificate(text);
        else createPrivateKey(text);
        return undefined;
    }
    catch (err) {
        return `cannot read ${file} as ${kind}: ${err instanceof Error ? err.message : String(err)}`;
    }
}
