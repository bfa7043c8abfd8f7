import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { race } from "@vanillarouter/base/race";
import { Abandonment } from "../entry/abandonment";

function* waitWhileDroppable(abandonment: Abandonment, isStarted: () => boolean): Operation<undefined> {
    yield* abandonment.wait();
    if (isStarted()) yield* perform<never>({ start: () => () => {} });
    return undefined;
}

/** Runs an operation. Cancels it and returns undefined if its caller leaves before `isStarted` returns true; afterwards it runs to its end. */
export function runUnlessAbandoned<T>(abandonment: Abandonment | undefined, isStarted: () => boolean, operation: Operation<T>): Operation<T | undefined> {
    return abandonment === undefined ? operation : race<T | undefined>([operation, waitWhileDroppable(abandonment, isStarted)]);
}
