import { Effect } from "./effect";
import { Operation } from "./operation";

/** Waits for one effect and returns its value. Throws the error with which the effect failed. */
export function* perform<T>(effect: Effect<T>): Operation<T> {
    return (yield effect) as T;
}
