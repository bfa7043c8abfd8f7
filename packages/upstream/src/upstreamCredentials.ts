/** Credentials for a MySQL server. */
export interface UpstreamCredentials {
    readonly user: string;
    readonly password: string;
    /** Database to select on login; none if absent. */
    readonly database?: string;
}
