import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { ConnectionPool } from "./connectionPool";
import { PooledConnection } from "./pooledConnection";

/** Idle time after which a connection is checked, in milliseconds. */
const checkAfterIdleMs = 5_000;
/** Interval between checks, in milliseconds. */
const checkIntervalMs = 500;
/** Time limit of a check, in milliseconds. */
const pingTimeoutMs = 1_000;

/** Checks idle connections of a pool and discards silent ones before a statement is sent on them. */
export class IdleCheck {
    private constructor(private readonly clock: Clock, private readonly pool: ConnectionPool) {}

    public static create(clock: Clock, pool: ConnectionPool): IdleCheck {
        return new IdleCheck(clock, pool);
    }

    public *run(): Operation<void> {
        for (;;) {
            const pooled = this.pool.takeIdleLongerThan(checkAfterIdleMs);
            if (pooled !== undefined) yield* this.check(pooled);
            yield* sleep(this.clock, checkIntervalMs);
        }
    }

    private *check(pooled: PooledConnection): Operation<void> {
        let isAlive = false;
        try {
            const response = yield* withTimeout(this.clock, pingTimeoutMs, pooled.connection.ping());
            isAlive = response?.ok ?? false;
        }
        finally {
            if (isAlive) this.pool.release(pooled);
            else this.pool.discard(pooled);
        }
        // A network intermediary that dropped one connection, such as a firewall, has probably dropped the others that were idle for as long.
        if (!isAlive) this.pool.discardIdle();
    }
}
