/** Ports bound by a daemon. */
export interface DaemonAddresses {
    readonly callerPort: number;
    readonly administrationPort: number;
    readonly heartbeatPort: number;
    readonly linkPort: number;
}
