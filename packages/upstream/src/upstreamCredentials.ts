/** Login of the proxy at all upstreams. */
export interface UpstreamCredentials {
    readonly user: string;
    readonly password: string;
}
