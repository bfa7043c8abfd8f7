/** One operation of a Consul transaction, limited to key-value operations. */
export interface StoreOperation {
    readonly verb: string;
    readonly key: string;
    readonly value?: Buffer;
    readonly index?: number;
    readonly session?: string;
}
