import { Failure } from "@vanillarouter/base/failure";
import { GroupView } from "@vanillarouter/base/groupView";

function isGroupView(details: unknown): details is GroupView {
    if (typeof details !== "object" || details === null) return false;
    const { group, term, primary } = details as Partial<GroupView>;
    return typeof group === "string" && typeof term === "number" && (primary === undefined || typeof primary === "string");
}

/** Returns the group view that an owner attached to a failure, either as its details or as the property `view` of them. */
export function findViewInFailure(failure: Failure): GroupView | undefined {
    const details = failure.details;
    if (isGroupView(details)) return details;
    const nested = (details as { view?: unknown; } | undefined)?.view;
    return isGroupView(nested) ? nested : undefined;
}
