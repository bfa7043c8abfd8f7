/** Login at a MySQL server. */
export interface UpstreamCredentials {
    readonly user: string;
    readonly password: string;
    /** Database to select; absent: none. */
    readonly database?: string;
}
