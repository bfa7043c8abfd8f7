import { GroupView } from "@vanillarouter/base/groupView";
import { Signal } from "@vanillarouter/base/signal";
import { GroupDirectory } from "./groupDirectory";

/** The newest group views known on this VM, from responses, exchanges with other VMs and elections. */
export class KnownGroupViews implements GroupDirectory {
    public readonly changed = Signal.create<GroupView>();
    private readonly views = new Map<string, GroupView>();

    private constructor() {}

    public static create(views: Iterable<GroupView> = []): KnownGroupViews {
        const directory = new KnownGroupViews();
        for (const view of views) directory.learn(view);
        return directory;
    }

    /** All known views, to be exchanged with other VMs. */
    public get all(): Iterable<GroupView> {
        return this.views.values();
    }

    public find(group: string): GroupView | undefined {
        return this.views.get(group);
    }

    public learn(view: GroupView): boolean {
        const known = this.views.get(view.group);
        if (known !== undefined && !this.isNewer(view, known)) return false;
        this.views.set(view.group, view);
        this.changed.notifyAll(view);
        return true;
    }

    /** A term has at most one primary, so a view of the same term is newer only if no primary was known. */
    private isNewer(view: GroupView, known: GroupView): boolean {
        if (view.term !== known.term) return view.term > known.term;
        return known.primary === undefined && view.primary !== undefined;
    }
}
