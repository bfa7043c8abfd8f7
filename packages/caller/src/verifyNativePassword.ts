import { createHash, timingSafeEqual } from "node:crypto";
import { LoginAttempt } from "./loginAttempt";

const hashBytes = 20;

function hash(...parts: readonly Buffer[]): Buffer {
    const digest = createHash("sha1");
    for (const part of parts) digest.update(part);
    return digest.digest();
}

/**
 * Checks the answer of the `mysql_native_password` method against SHA1(SHA1(password)) in hexadecimal. An empty hash
 * stands for an account without password.
 */
export function verifyNativePassword(attempt: LoginAttempt, passwordHash: string): boolean {
    if (passwordHash === "") return attempt.authToken.length === 0;
    const stored = Buffer.from(passwordHash.replace(/^\*/, ""), "hex");
    if (stored.length !== hashBytes || attempt.authToken.length !== hashBytes) return false;
    if (attempt.authPluginData1 === undefined || attempt.authPluginData2 === undefined) return false;
    const mask = hash(attempt.authPluginData1, attempt.authPluginData2, stored);
    const passwordSha = Buffer.from(attempt.authToken.map((byte, index) => byte ^ mask[index]!));
    return timingSafeEqual(hash(passwordSha), stored);
}
