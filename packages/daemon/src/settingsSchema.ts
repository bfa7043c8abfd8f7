import { isIP } from "node:net";
import { z } from "zod";
import { checkClusterFiles } from "./checkClusterFiles";
import { checkPemFile } from "./checkPemFile";

const minSecretLength = 16;
const maxTimeMs = 3_600_000;

const name = z.string().regex(/^[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}$/, "must be 1 to 64 letters, digits, dots, dashes or underscores");
const address = z.string().refine(text => isIP(text) !== 0, "must be an IP address");
/** A port to bind; with 0, the operating system chooses a free port. */
const port = z.number().int().min(0).max(65_535);
const remotePort = z.number().int().min(1).max(65_535);
const secret = z.string().min(minSecretLength);
const timeMs = z.number().int().min(0).max(maxTimeMs);

function createPemFileSchema(kind: "certificate" | "private key"): z.ZodString {
    return z.string().superRefine((file, context) => {
        const fault = checkPemFile(file, kind);
        if (fault !== undefined) context.addIssue({ code: "custom", message: fault });
    });
}

/** Schema of the settings file. Unknown keys are rejected, so that misspelt keys are reported. */
export const settingsSchema = z.strictObject({
    /** Identity of this VM, and the addresses at which other VMs reach it. */
    vm: z.strictObject({
        id: name,
        zone: name,
        host: address,
        heartbeatPort: port,
        linkPort: port,
        /** VMs to join through, in addition to those in the platform's list. */
        seeds: z.array(z.strictObject({ host: address, heartbeatPort: remotePort })).default([]),
    }),
    caller: z.strictObject({
        host: address,
        port,
        maxConnections: z.number().int().min(1).max(200_000).default(10_000),
        maxStatementBytes: z.number().int().min(1024).max(16_000_000).default(1_048_576),
        /** At most 10 s, because `mysql2` closes a connection that stays silent for 10 s. */
        loginTimeoutMs: z.number().int().min(100).max(10_000).default(10_000),
        /** Without it, 8% of the heap limit. */
        maxHeldBytes: z.number().int().min(1_048_576).optional(),
        messageTimeoutMs: z.number().int().min(1_000).max(maxTimeMs).default(60_000),
        responseTimeoutMs: z.number().int().min(1_000).max(maxTimeMs).default(60_000),
    }),
    administration: z.strictObject({ host: address, port, credential: secret }),
    /** The secret key that all VMs share, and the certificates and private key for links between VMs. */
    cluster: z.strictObject({
        key: secret,
        certificateFile: createPemFileSchema("certificate"),
        privateKeyFile: createPemFileSchema("private key"),
        authorityFile: createPemFileSchema("certificate"),
    }).superRefine((files, context) => {
        for (const [key, message] of Object.entries(checkClusterFiles(files))) context.addIssue({ code: "custom", path: [key], message });
    }),
    platform: z.strictObject({ host: z.string().min(1), port: remotePort, service: name.optional() }),
    /** The proxy's account on all upstreams. */
    upstream: z.strictObject({ user: z.string().min(1).max(64), password: z.string() }),
    shutdown: z.strictObject({
        /** Time for the load balancer to notice that this VM is leaving. */
        announceMs: timeMs.default(2_000),
        /** Time for statements and transactions in progress to finish. */
        timeoutMs: timeMs.default(30_000),
    }).prefault({}),
    log: z.strictObject({ level: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info") }).prefault({}),
});
