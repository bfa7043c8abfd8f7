import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Result } from "ts-results";
import { SlotRequest } from "./slotRequest";

/** Schedules statements onto the slots of an upstream. */
export interface StatementScheduler {
    /** Runs `operation` in a slot, or returns the reason why it was refused. The slot is released when `operation` ends. */
    run<T>(req: SlotRequest, operation: () => Operation<T>): Operation<Result<T, Failure>>;
}
