import { GroupView } from "@vanillarouter/base/groupView";
import { Signal } from "@vanillarouter/base/signal";

/** The newest view of each group known on this VM. */
export interface GroupDirectory {
    find(group: string): GroupView | undefined;
    /** Stores a view if its term is higher, or the same with a primary where none was known. Returns whether it was stored. */
    learn(view: GroupView): boolean;
    /** Notified with each view that is stored. */
    readonly changed: Signal<GroupView>;
}
