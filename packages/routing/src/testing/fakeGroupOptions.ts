import { Clock } from "@vanillarouter/base/clock";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";

/** Options of a fake group. */
export interface FakeGroupOptions {
    readonly clock: Clock;
    readonly group: DatabaseGroup;
    /** Duration of a statement on an idle upstream, in milliseconds. */
    readonly getStatementMs?: (sql: string) => number;
    /** One-way delay between an owner and an upstream, and between upstreams, in milliseconds. */
    readonly networkMs?: number;
    /** Time to open a connection, in milliseconds. */
    readonly connectMs?: number;
}
