import { Rank } from "@vanillarouter/base/rank";
import { z } from "zod";
import { ConfigurationSection } from "./configurationSection";

const targetLimitMs = 3_600_000;
const ageLimitMs = 86_400_000;
const name = z.string().regex(/^[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}$/, "must be 1 to 64 letters, digits, dots, dashes or underscores");

const workClass = z.strictObject({
    name,
    rank: z.enum(Rank),
    targetMs: z.number().int().min(1).max(targetLimitMs),
    maxAgeMs: z.number().int().min(0).max(ageLimitMs).optional(),
    readOnly: z.boolean(),
});

const account = z.strictObject({
    user: name,
    passwordHash: z.string().regex(/^[0-9a-fA-F]{40}$/, "must be SHA1(SHA1(password)) as 40 hexadecimal digits"),
    defaultClass: name,
});

const upstream = z.strictObject({
    id: name,
    zone: name,
    host: z.string().min(1).max(253),
    port: z.number().int().min(1).max(65535),
    slots: z.number().int().min(1).max(1000),
    maxConnections: z.number().int().min(1).max(10_000),
    leaving: z.boolean().optional(),
}).refine(value => value.maxConnections >= value.slots, { path: ["maxConnections"], message: "must be at least the number of slots" });

const group = z.strictObject({
    name,
    upstreams: z.array(upstream).min(1).max(15),
}).refine(value => new Set(value.upstreams.map(member => member.id)).size === value.upstreams.length, {
    path: ["upstreams"],
    message: "must have different ids",
});

/** Schema of the items of each section. */
export const sectionSchemas: Readonly<Record<ConfigurationSection, z.ZodType>> = {
    [ConfigurationSection.Classes]: workClass,
    [ConfigurationSection.Accounts]: account,
    [ConfigurationSection.Groups]: group,
};
