import { LogPosition } from "@vanillarouter/base/logPosition";

/** What the comment with `vr term=7 req=ID floor=7.120` at the start of a statement says. */
export interface StatementHint {
    readonly term?: number;
    readonly requestId?: string;
    readonly floor?: LogPosition;
}
