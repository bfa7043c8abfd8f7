import { ConfigurationSection } from "@vanillarouter/platform/configurationSection";
import { z } from "zod";

const changeId = z.string().max(64);

/** Schemas of request bodies and query parameters. The configuration editor validates the values of configuration items. */
export const requestSchemas = {
    classEdit: z.strictObject({ value: z.unknown(), expectedChangeId: changeId.optional() }).refine(body => body.value !== undefined, {
        path: ["value"],
        message: "is required",
    }),
    change: z.strictObject({
        edits: z.array(z.strictObject({
            section: z.enum(ConfigurationSection),
            name: z.string().min(1).max(64),
            value: z.unknown().optional(),
            expectedChangeId: changeId.optional(),
        })).min(1),
    }),
    limit: z.coerce.number().int().min(1).max(1000),
} as const;
