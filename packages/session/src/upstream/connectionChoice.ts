import { ConnectionChoiceKind } from "./connectionChoiceKind";
import { UpstreamConnection } from "./upstreamConnection";

/** A decision about the connection for an operation. */
export interface ConnectionChoice {
    readonly kind: ConnectionChoiceKind;
    /** `Open`: the idle connection that is closed to make room; undefined if there is room. */
    readonly evicted?: UpstreamConnection | undefined;
}
