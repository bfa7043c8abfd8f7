import { Effect } from "./effect";
import { Operation } from "./operation";

/** Waits for one effect and returns its value. Rethrows the error that the effect failed with. */
export function* perform<T>(effect: Effect<T>): Operation<T> {
    return (yield effect) as T;
}
