import { Operation } from "./operation";
import { perform } from "./perform";

/** Waits for a promise. Cancellation drops its result; `onCancel` may stop the work behind it. */
export function fromPromise<T>(promise: Promise<T>, onCancel: () => void = () => {}): Operation<T> {
    return perform<T>({
        start: (resume, fail) => {
            promise.then(resume, fail);
            return onCancel;
        },
    });
}
