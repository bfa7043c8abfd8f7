import { Failure } from "@vanillarouter/base/failure";
import { ConfigurationShard } from "@vanillarouter/platform/configurationShard";
import { parseShard } from "@vanillarouter/platform/parseShard";
import { Ok, Result } from "ts-results";
import { ShardDocument } from "./shardDocument";

/** Parses and validates a shard sent by another VM. */
export function parseShardDocument(document: ShardDocument): Result<ConfigurationShard, Failure> {
    if (document.version === 0) return Ok({ name: document.name, version: 0, changeId: "", items: new Map() });
    return parseShard(document.name, document.text, document.version);
}
