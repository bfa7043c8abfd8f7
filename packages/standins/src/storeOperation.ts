/** The key-value part of one operation of a Consul transaction. */
export interface StoreOperation {
    readonly verb: string;
    readonly key: string;
    readonly value?: Buffer;
    readonly index?: number;
    readonly session?: string;
}
