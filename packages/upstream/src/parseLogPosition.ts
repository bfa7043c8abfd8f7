import { LogPosition } from "@vanillarouter/base/logPosition";

/** Parses a log position in the form `TERM.POSITION`, such as `7.121`, as hints and responses contain it. Returns undefined for other text. */
export function parseLogPosition(text: string): LogPosition | undefined {
    const match = /^(\d+)\.(\d+)$/.exec(text);
    return match === null ? undefined : { term: Number(match[1]), position: Number(match[2]) };
}
