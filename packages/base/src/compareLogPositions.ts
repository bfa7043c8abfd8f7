import { LogPosition } from "./logPosition";

/**
 * Orders entries by term, then position. An upstream whose last entry is not below an acknowledged entry contains it:
 * within a term one primary writes one sequence, and a later primary starts from a log with every acknowledged entry.
 */
export function compareLogPositions(first: LogPosition, second: LogPosition): number {
    return first.term - second.term || first.position - second.position;
}
