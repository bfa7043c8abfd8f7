import { LogPosition } from "./logPosition";

/**
 * Compares log entries by term, then by position. An upstream whose last entry is equal to or later than an acknowledged
 * entry contains that entry: within a term a single primary writes a single sequence, and the primary of a later term
 * starts from a log that contains every acknowledged entry.
 */
export function compareLogPositions(first: LogPosition, second: LogPosition): number {
    return first.term - second.term || first.position - second.position;
}
