import { ConfigurationSection } from "./configurationSection";
import { hashName } from "./hashName";

/** Must equal the number in `shardNames`. It determines the shard of every group: with another number, stored groups would be looked up in a wrong shard. */
const groupShardCount = 16;

/** Returns the name of the shard that holds a configuration item. */
export function getShardName(section: ConfigurationSection, name: string): string {
    if (section !== ConfigurationSection.Groups) return section;
    return `groups-${String(hashName(name) % groupShardCount).padStart(2, "0")}`;
}
