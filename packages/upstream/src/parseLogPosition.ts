import { LogPosition } from "@vanillarouter/base/logPosition";

/** Parses `7.121`, the text form of term and position in hints and answers. Returns undefined for other text. */
export function parseLogPosition(text: string): LogPosition | undefined {
    const match = /^(\d+)\.(\d+)$/.exec(text);
    return match === null ? undefined : { term: Number(match[1]), position: Number(match[2]) };
}
