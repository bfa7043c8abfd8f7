import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Result } from "ts-results";
import { ListedVm } from "./listedVm";

/** The platform's list of VMs. It lags behind, so it gives seeds and hints and never decides who is alive. */
export interface VmList {
    /** Reads the whole list, or that of one zone. */
    readVms(timeoutMs: number, zone?: string): Operation<Result<readonly ListedVm[], Failure>>;
}
