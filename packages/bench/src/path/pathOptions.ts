/** How the path is measured. */
export interface PathOptions {
    readonly connections: number;
    /** Statements per second of the measurements at a fixed rate. */
    readonly statementsPerSecond: number;
    /** Duration of each measurement, in milliseconds. */
    readonly durationMs: number;
    /** Idle connections of the memory measurement. */
    readonly idleConnections: number;
}
