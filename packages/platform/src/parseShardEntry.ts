import { Failure } from "@vanillarouter/base/failure";
import { Ok, Result } from "ts-results";
import { ConfigurationShard } from "./configurationShard";
import { parseShard } from "./parseShard";
import { StoreEntry } from "./storeEntry";

/** Parses a shard as the store holds it. A shard that the store does not hold is empty and has version 0. */
export function parseShardEntry(name: string, entry: StoreEntry | undefined): Result<ConfigurationShard, Failure> {
    if (entry === undefined) return Ok({ name, version: 0, changeId: "", items: new Map() });
    return parseShard(name, entry.value, entry.version);
}
