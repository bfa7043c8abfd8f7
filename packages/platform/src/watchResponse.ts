import { StoreEntry } from "./storeEntry";

/** Response to a watch: the current entry, and the index to pass to the next watch. */
export interface WatchResponse {
    readonly entry: StoreEntry | undefined;
    readonly index: number;
}
