import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Task } from "@vanillarouter/base/task";
import { Result } from "ts-results";
import { WireResponse } from "./wireResponse";

/** Runs an operation and converts its result to the form sent over links. */
export async function toWireResponse<T>(operation: Operation<Result<T, Failure>>): Promise<WireResponse<T>> {
    const result = await Task.start(operation).toPromise();
    return result.ok ? { value: result.val } : { failure: result.val };
}
