import { Effect } from "./effect";

/**
 * A computation that waits by yielding effects. Call another operation with `yield*`; run one with `Task.start`.
 */
// eslint-disable-next-line @typescript-eslint/no-explicit-any -- a generator has a single type for all values passed to `next`; `perform` restores the type of each effect.
export type Operation<T> = Generator<Effect<any>, T, any>;
