import { LogPosition } from "@vanillarouter/base/logPosition";
import { CommandKind } from "./commandKind";

/** A command to an upstream. Fields that its kind does not use are undefined. */
export interface UpstreamCommand {
    readonly kind: CommandKind;
    /** `Forward`: the id that the caller gave the statement. */
    readonly id?: string;
    /** `Forward`: the statement. `SetValue`: the value. `Prepare`: the statement with placeholders. */
    readonly text?: string;
    /** `SetValue`: name of the session value. `Prepare`: name of the prepared statement. */
    readonly name?: string;
    /** `Forward` of a prepared statement: its name on the upstream connection, which replaces the caller's name for it. */
    readonly preparedName?: string;
    readonly readOnly?: boolean;
    /** The upstream fails the command with `Lagging` unless its log has reached this position. */
    readonly floor?: LogPosition;
    /** `Fence` and `Demote`: the new term. */
    readonly term?: number;
}
