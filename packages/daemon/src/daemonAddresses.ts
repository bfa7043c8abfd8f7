/** Ports that a daemon has bound. */
export interface DaemonAddresses {
    readonly callerPort: number;
    readonly administrationPort: number;
    readonly heartbeatPort: number;
    readonly linkPort: number;
}
