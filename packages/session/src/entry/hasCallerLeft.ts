import { Abandonment } from "./abandonment";

/** Whether the caller of a request has left, so that what has not been sent for it is dropped. */
export function hasCallerLeft({ abandonment }: { readonly abandonment?: Abandonment; }): boolean {
    return abandonment !== undefined && abandonment.isAbandoned;
}
