import { RandomSource } from "@vanillarouter/base/randomSource";

/** Creates a change id: UTC time with millisecond precision, followed by 32 random bits. Ids sort by time. */
export function createChangeId(wallTimeMs: number, random: RandomSource): string {
    const time = new Date(wallTimeMs).toISOString().replace(/[-:.]/g, "");
    const suffix = Math.floor(random.next() * 0x100000000).toString(16).padStart(8, "0");
    return `${time}-${suffix}`;
}
