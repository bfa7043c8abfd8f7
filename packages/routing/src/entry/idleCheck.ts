import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { ConnectionPool } from "../owner/connectionPool";
import { PooledConnection } from "../owner/pooledConnection";

/** Idle time after which a connection is checked, in milliseconds. */
const idleLimitMs = 5_000;
/** Interval between checks, in milliseconds. */
const checkIntervalMs = 500;
/** Time that a check may take, in milliseconds. */
const pingTimeoutMs = 1_000;

/** Finds connections that became silent while idle, before a statement has to find it out. */
export class IdleCheck {
    private constructor(private readonly clock: Clock, private readonly pool: ConnectionPool) {}

    public static create(clock: Clock, pool: ConnectionPool): IdleCheck {
        return new IdleCheck(clock, pool);
    }

    public *run(): Operation<void> {
        for (;;) {
            const pooled = this.pool.takeIdleFor(idleLimitMs);
            if (pooled !== undefined) yield* this.check(pooled);
            yield* sleep(this.clock, checkIntervalMs);
        }
    }

    private *check(pooled: PooledConnection): Operation<void> {
        let answers = false;
        try {
            const answer = yield* withTimeout(this.clock, pingTimeoutMs, pooled.connection.ping());
            answers = answer?.ok ?? false;
        }
        finally {
            if (answers) this.pool.release(pooled);
            else this.pool.discard(pooled);
        }
        // The intermediary that lost one connection has probably lost the others that were idle as long.
        if (!answers) this.pool.discardIdle();
    }
}
