import { ConfigurationSection } from "./configurationSection";
import { sectionSchemas } from "./sectionSchemas";

/** Validates a configuration item. Returns every fault with its path, such as `classes.orders.targetMs: ...`, or an empty array for a valid item. */
export function checkItem(section: ConfigurationSection, name: string, value: unknown): readonly string[] {
    const parsed = sectionSchemas[section].safeParse(value);
    const path = `${section}.${name}`;
    if (!parsed.success) return parsed.error.issues.map(issue => `${[path, ...issue.path].join(".")}: ${issue.message}`);
    const key = section === ConfigurationSection.Accounts ? "user" : "name";
    const ownName = (parsed.data as Readonly<Record<string, unknown>>)[key];
    return ownName === name ? [] : [`${path}.${key}: must be ${name}`];
}
