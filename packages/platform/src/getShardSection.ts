import { ConfigurationSection } from "./configurationSection";

/** Returns the section that a shard belongs to. */
export function getShardSection(shard: string): ConfigurationSection {
    if (shard === "classes") return ConfigurationSection.Classes;
    return shard === "accounts" ? ConfigurationSection.Accounts : ConfigurationSection.Groups;
}
