import { orderMembers } from "@vanillarouter/session/cluster/orderMembers";
import { MemberEntry } from "@vanillarouter/session/model/memberEntry";

/**
 * Chooses the watchers that a VM asks for changes of the store: one in its own zone and one in another, so that no single failure
 * delays changes. Where that is not possible, any two, or the only one. Different VMs choose different watchers, which divides the load.
 */
export function chooseWatchers(self: Pick<MemberEntry, "id" | "zone">, watchers: readonly MemberEntry[]): readonly MemberEntry[] {
    const ordered = orderMembers(self.id, watchers);
    const first = ordered.find(watcher => watcher.zone === self.zone) ?? ordered[0];
    const second = ordered.find(watcher => watcher.zone !== first?.zone) ?? ordered.find(watcher => watcher !== first);
    return [first, second].filter(watcher => watcher !== undefined);
}
