import { LogPosition } from "@vanillarouter/base/logPosition";
import { CommandKind } from "./commandKind";

/** One command to an upstream. Fields that a kind does not use are undefined. */
export interface UpstreamCommand {
    readonly kind: CommandKind;
    /** `Forward`: the caller's id. */
    readonly id?: string;
    /** `Forward`: the statement. `SetValue` and `Prepare`: value or shape. */
    readonly text?: string;
    /** `SetValue` and `Prepare`: the name. */
    readonly name?: string;
    /** `Forward` of a prepared statement: its name at the upstream, in place of the caller's name. */
    readonly preparedName?: string;
    readonly readOnly?: boolean;
    /** Refuse with `Lagging` unless the log holds this position. */
    readonly floor?: LogPosition;
    /** `Fence` and `Demote`. */
    readonly term?: number;
}
