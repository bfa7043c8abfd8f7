import { StoreEntry } from "./storeEntry";

/** Answer of a watch: the entry as it is now, and the index to wait from next. */
export interface WatchAnswer {
    readonly entry: StoreEntry | undefined;
    readonly index: number;
}
