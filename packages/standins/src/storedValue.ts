/** A key and its value in the store, with the indexes that Consul reports. */
export interface StoredValue {
    readonly key: string;
    readonly value: Buffer;
    readonly flags: number;
    readonly createIndex: number;
    readonly modifyIndex: number;
    readonly lockIndex: number;
    readonly session?: string;
}
