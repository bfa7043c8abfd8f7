import { Operation } from "./operation";
import { perform } from "./perform";

/** Waits for a promise. After cancellation its result is ignored; `onCancel` can abort the underlying work. */
export function fromPromise<T>(promise: Promise<T>, onCancel: () => void = () => {}): Operation<T> {
    return perform<T>({
        start: (resume, fail) => {
            promise.then(resume, fail);
            return onCancel;
        },
    });
}
