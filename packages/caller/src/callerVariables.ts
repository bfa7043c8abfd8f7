import { Failure } from "@vanillarouter/base/failure";
import { Result } from "ts-results";

/** State of a caller connection that statements can read or change without an upstream. */
export interface CallerVariables {
    readonly user: string;
    readonly connectionId: number;
    readonly database: string;
    /** Encoded token of the session. */
    readonly token: string;
    /** Names of all databases. */
    readonly databases: readonly string[];
    /** Returns a user-defined variable such as `vr_class`; undefined if it is unknown or not set. */
    findUserVariable(name: string): string | undefined;
    /** Sets a user-defined variable; undefined removes the value. */
    setUserVariable(name: string, value: string | undefined): Result<void, Failure>;
    selectDatabase(name: string): Result<void, Failure>;
    selectCharacterSet(name: string): Result<void, Failure>;
}
