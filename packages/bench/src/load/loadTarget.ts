/** Where a load is sent to. */
export interface LoadTarget {
    /** Addresses of entry VMs; a caller that loses one goes on with the next. */
    readonly entries: readonly { readonly host: string; readonly port: number; }[];
    readonly user: string;
    readonly password: string;
}
