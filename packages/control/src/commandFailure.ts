import { Failure } from "@vanillarouter/base/failure";
import { ExitCode } from "./exitCode";

/** Why a command failed, and the exit code that says so. */
export interface CommandFailure {
    readonly failure: Failure;
    readonly exitCode: ExitCode;
}
