import { createHash, timingSafeEqual } from "node:crypto";
import { LoginAttempt } from "./loginAttempt";

const hashBytes = 20;

function sha1(...parts: readonly Buffer[]): Buffer {
    const digest = createHash("sha1");
    for (const part of parts) digest.update(part);
    return digest.digest();
}

/**
 * Verifies a client's `mysql_native_password` response against SHA1(SHA1(password)) in hexadecimal. An empty hash means
 * that the account has no password.
 */
export function verifyNativePassword(attempt: LoginAttempt, passwordHash: string): boolean {
    if (passwordHash === "") return attempt.authToken.length === 0;
    const stored = Buffer.from(passwordHash.replace(/^\*/, ""), "hex");
    if (stored.length !== hashBytes || attempt.authToken.length !== hashBytes) return false;
    if (attempt.authPluginData1 === undefined || attempt.authPluginData2 === undefined) return false;
    const scramble = sha1(attempt.authPluginData1, attempt.authPluginData2, stored);
    const passwordDigest = Buffer.from(attempt.authToken.map((byte, index) => byte ^ scramble[index]!));
    return timingSafeEqual(sha1(passwordDigest), stored);
}
