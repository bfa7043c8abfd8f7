import { Effect } from "./effect";

/**
 * A computation that waits by yielding effects. Call another operation with `yield*`; run one with `Task.start`.
 */
// eslint-disable-next-line @typescript-eslint/no-explicit-any -- a generator has one type for all values sent into it; `perform` restores the effect's type.
export type Operation<T> = Generator<Effect<any>, T, any>;
