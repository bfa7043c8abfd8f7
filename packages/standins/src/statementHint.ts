import { LogPosition } from "@vanillarouter/base/logPosition";

/** The contents of the hint comment at the start of a statement, such as `vr term=7 req=ID floor=7.120`. */
export interface StatementHint {
    /** Term in which a write or transaction is to be executed. An upstream that is not the primary of this term rejects it. */
    readonly term?: number;
    /** Id that the log records with a write or commit. A statement other than a read is rejected if the log already contains its id. */
    readonly requestId?: string;
    /** Minimum applied log position. An upstream that has not applied it rejects reads. */
    readonly floor?: LogPosition;
}
