/** One VM as the platform's list shows it. */
export interface ListedService {
    readonly id: string;
    readonly zone: string;
    readonly host: string;
    readonly heartbeatPort: number;
    readonly linkPort: number;
    readonly state: "live" | "leaving" | "gone";
}
