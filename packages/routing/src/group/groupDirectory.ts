import { GroupView } from "@vanillarouter/base/groupView";
import { Signal } from "@vanillarouter/base/signal";

/** The newest view of each group known on this VM. */
export interface GroupDirectory {
    find(group: string): GroupView | undefined;
    /** Takes over a view if its term is higher, or the same with a primary where none was known. Returns whether it did. */
    learn(view: GroupView): boolean;
    /** Notified with each view taken over. */
    readonly changed: Signal<GroupView>;
}
