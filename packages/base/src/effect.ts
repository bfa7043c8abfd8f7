/**
 * An asynchronous event that a task waits for, such as a timer, a message or a promise.
 *
 * `start` begins to wait and returns a function that cancels the wait. It may call `resume` or `fail` synchronously. Only the
 * first of these calls counts; further calls, and calls after cancellation, are ignored.
 */
export interface Effect<T> {
    start(resume: (value: T) => void, fail: (err: unknown) => void): () => void;
}
