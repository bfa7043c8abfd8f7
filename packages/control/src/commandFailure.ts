import { Failure } from "@vanillarouter/base/failure";
import { ExitCode } from "./exitCode";

/** The failure of a command and the exit code that reports it. */
export interface CommandFailure {
    readonly failure: Failure;
    readonly exitCode: ExitCode;
}
