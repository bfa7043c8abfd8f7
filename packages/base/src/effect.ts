/**
 * One wait of a task, such as a timer, a message or a promise.
 *
 * `start` begins the wait and returns a function that cancels it. Exactly one of `resume` and `fail` may be called, at
 * most once, and neither after cancellation. Calling one of them synchronously from `start` is allowed.
 */
export interface Effect<T> {
    start(resume: (value: T) => void, fail: (err: unknown) => void): () => void;
}
