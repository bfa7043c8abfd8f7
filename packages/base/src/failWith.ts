import { Err } from "ts-results";
import { Failure } from "./failure";

/**
 * Creates a failed result without a stack trace. `Err` captures a stack trace, which takes longer than the decision to
 * refuse a request. During an overload most requests are refused, and the result code is enough to identify a failure.
 */
export function failWith(failure: Failure): Err<Failure> {
    const limit = Error.stackTraceLimit;
    Error.stackTraceLimit = 0;
    const result = Err(failure);
    Error.stackTraceLimit = limit;
    return result;
}
