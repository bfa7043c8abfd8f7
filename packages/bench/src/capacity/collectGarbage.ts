import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose_gc");
const collect = runInNewContext("gc") as () => void;

/** Runs a full garbage collection, so that the heap size that follows counts only what is in use. */
export function collectGarbage(): void {
    collect();
}
