/** What the choice of a gateway needs to know of it. */
export interface GatewayLoad {
    readonly id: string;
    readonly zone: string;
    /** Calls of this VM that the gateway has not answered yet. */
    readonly activeCalls: number;
}
