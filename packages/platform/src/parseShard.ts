import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Err, Ok, Result } from "ts-results";
import { z } from "zod";
import { checkItem } from "./checkItem";
import { ConfigurationShard } from "./configurationShard";
import { Diagnostics } from "./diagnostics";
import { getShardSection } from "./getShardSection";

const schema = z.object({
    changeId: z.string(),
    version: z.number().int().optional(),
    items: z.record(z.string(), z.object({ changeId: z.string(), value: z.unknown() })),
});

/**
 * Parses the text of a shard and validates every item in it. `minVersion` is the store's modify index, or the version with which another
 * VM sent the shard. Fails with `shardUnreadable` if the text is malformed.
 */
export function parseShard(name: string, text: string, minVersion: number): Result<ConfigurationShard, Failure> {
    let document: unknown;
    try {
        document = JSON.parse(text);
    }
    catch (err) {
        return Err(createFailure(Diagnostics.shardUnreadable, RunOutcome.DidNotRun, name, String(err)));
    }
    const parsed = schema.safeParse(document);
    if (!parsed.success) return Err(createFailure(Diagnostics.shardUnreadable, RunOutcome.DidNotRun, name, parsed.error.message));
    const items = new Map(Object.entries(parsed.data.items));
    const section = getShardSection(name);
    const faults = [...items].flatMap(([key, item]) => checkItem(section, key, item.value));
    if (faults.length > 0) return Err(createFailure(Diagnostics.shardUnreadable, RunOutcome.DidNotRun, name, faults.join("; ")));
    const version = Math.max(minVersion, parsed.data.version ?? 0);
    return Ok({ name, version, changeId: parsed.data.changeId, items });
}
