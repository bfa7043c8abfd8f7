import { CallerLimits } from "@vanillarouter/caller/callerLimits";
import { getHeapStatistics } from "node:v8";
import { DaemonSettings } from "./daemonSettings";

/** Fractions of the heap limit. Statements in execution exist in about five copies. */
const heldHeapFraction = 0.08;
const servedHeapFraction = 0.03125;

/** Creates the limits on callers. Without a setting, the bytes that are held and executed are limited to fractions of the heap limit. */
export function createCallerLimits({ maxHeldBytes, ...settings }: DaemonSettings["caller"]): CallerLimits {
    const heapBytes = getHeapStatistics().heap_size_limit;
    return { ...settings, maxHeldBytes: maxHeldBytes ?? heapBytes * heldHeapFraction, maxServedBytes: heapBytes * servedHeapFraction };
}
