import { Err } from "ts-results";
import { Failure } from "./failure";

/**
 * Makes a failed result without a stack trace. `Err` records one, which takes longer than the decision to refuse: under
 * an overload most requests are refused, and a failure is told by its number.
 */
export function failWith(failure: Failure): Err<Failure> {
    const limit = Error.stackTraceLimit;
    Error.stackTraceLimit = 0;
    const result = Err(failure);
    Error.stackTraceLimit = limit;
    return result;
}
