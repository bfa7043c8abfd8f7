import { z } from "zod";
import { AuditRecord } from "./auditRecord";
import { ConfigurationSection } from "./configurationSection";

const schema = z.object({
    changeId: z.string(),
    author: z.string(),
    time: z.string(),
    outcome: z.literal("applied"),
    edits: z.array(z.object({ section: z.enum(ConfigurationSection), name: z.string(), before: z.unknown().optional(), after: z.unknown().optional() })),
});

/** Parses the stored text of an audit record. Returns undefined if it is malformed. */
export function parseAuditRecord(text: string): AuditRecord | undefined {
    try {
        return schema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}
