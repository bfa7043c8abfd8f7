import { ConfigurationEdit } from "./configurationEdit";
import { ConfigurationShard } from "./configurationShard";
import { getShardName } from "./getShardName";
import { ShardItem } from "./shardItem";

/** Applies edits and returns the affected shards. They keep the versions that they had before the edits. */
export function applyEdits(
    shards: ReadonlyMap<string, ConfigurationShard>,
    edits: readonly ConfigurationEdit[],
    changeId: string,
): ReadonlyMap<string, ConfigurationShard> {
    const edited = new Map<string, Map<string, ShardItem>>();
    for (const edit of edits) {
        const name = getShardName(edit.section, edit.name);
        const items = edited.get(name) ?? new Map(shards.get(name)!.items);
        if (edit.value === undefined) items.delete(edit.name);
        else items.set(edit.name, { changeId, value: edit.value });
        edited.set(name, items);
    }
    return new Map([...edited].map(([name, items]) => [name, { ...shards.get(name)!, changeId, items }]));
}
