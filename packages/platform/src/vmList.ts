import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Result } from "ts-results";
import { ListedVm } from "./listedVm";

/** The platform's list of VMs. It may be outdated, so it only provides seeds and hints and never decides which VMs are alive. */
export interface VmList {
    /** Reads the whole list, or only the VMs of one zone. */
    readVms(timeoutMs: number, zone?: string): Operation<Result<readonly ListedVm[], Failure>>;
}
