import { createHash } from "node:crypto";

/** Returns the digest under which a key is looked up. The time of a lookup by digest tells nothing about keys that are similar. */
export function computeKeyDigest(key: string): string {
    return createHash("sha256").update(key).digest("base64");
}
