import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Task } from "@vanillarouter/base/task";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { Err, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { UpstreamConnection } from "../group/upstreamConnection";
import { UpstreamConnector } from "../group/upstreamConnector";
import { ConnectionPool } from "./connectionPool";
import { ProgressTimeout } from "./progressTimeout";

/** Minimum timeout of a probe, in milliseconds. A probe otherwise has the progress timeout that has just expired. */
const minProbeTimeoutMs = 50;
/** Growth of a statement's progress timeout with each attempt and after each probe that shows the upstream to be slow. */
const timeoutGrowthFactor = 2;

/**
 * Runs statements on connections and detects silent connections. When a statement shows no progress for longer than the
 * progress timeout of its class, a probe on a new connection distinguishes a silent connection from a slow upstream.
 */
export class StatementRunner {
    private constructor(
        private readonly clock: Clock,
        private readonly connector: UpstreamConnector,
        private readonly upstream: UpstreamSettings,
        private readonly pool: ConnectionPool,
        private readonly timeouts: ProgressTimeout,
    ) {}

    public static create(clock: Clock, connector: UpstreamConnector, upstream: UpstreamSettings, pool: ConnectionPool): StatementRunner {
        return new StatementRunner(clock, connector, upstream, pool, ProgressTimeout.create());
    }

    /** Runs one statement on a pooled connection until it ends or `deadline` passes. `attempt` counts from 0. */
    public *run<T>(
        className: string,
        deadline: number,
        attempt: number,
        statement: (connection: UpstreamConnection) => Operation<Result<T, Failure>>,
    ): Operation<Result<T, Failure>> {
        return yield* this.pool.use(deadline, connection => this.runOn(className, deadline, attempt, statement(connection)));
    }

    /**
     * Runs one statement, already bound to a connection, until it ends or `deadline` passes. Its initial progress timeout is
     * that of its class, doubled `timeoutDoublings` times.
     */
    public *runOn<T>(className: string, deadline: number, timeoutDoublings: number, statement: Operation<Result<T, Failure>>): Operation<Result<T, Failure>> {
        const startedAt = this.clock.now();
        const task = Task.start(statement);
        try {
            const isSettled = yield* this.waitForEnd(task, className, deadline, timeoutDoublings);
            if (!isSettled) return this.createSilentFailure(startedAt);
            const result = yield* task.join();
            if (result.ok) this.timeouts.record(className, this.clock.now() - startedAt);
            return result;
        }
        finally {
            task.cancel();
        }
    }

    /** Returns true if the statement ended, false if its connection is silent or its deadline has passed. */
    private *waitForEnd(task: Task<unknown>, className: string, deadline: number, timeoutDoublings: number): Operation<boolean> {
        let timeoutMs = this.timeouts.getTimeoutMs(className) * timeoutGrowthFactor ** timeoutDoublings;
        for (;;) {
            const remainingMs = deadline - this.clock.now();
            if (yield* this.settlesWithin(task, Math.min(timeoutMs, remainingMs))) return true;
            if (remainingMs <= timeoutMs) return false;
            if (yield* this.probe(task, Math.max(timeoutMs, minProbeTimeoutMs))) return task.isSettled;
            timeoutMs *= timeoutGrowthFactor;
        }
    }

    private *settlesWithin(task: Task<unknown>, timeoutMs: number): Operation<boolean> {
        if (task.isSettled) return true;
        return (yield* withTimeout(this.clock, timeoutMs, waitUntilSettled(task))) ?? false;
    }

    /** Returns true if the upstream responds on a new connection or the statement ends in the meantime, false if the upstream is slow. */
    private *probe(task: Task<unknown>, timeoutMs: number): Operation<boolean> {
        const probe = Task.start(withTimeout(this.clock, timeoutMs, this.openAndPing(timeoutMs)));
        try {
            const hasResponded = yield* perform<boolean>({
                start: resume => {
                    task.onSettled(() => resume(false));
                    probe.onSettled(() => probe.deliver(connection => resume(connection !== undefined), () => resume(false)));
                    return () => {};
                },
            });
            return hasResponded || task.isSettled;
        }
        finally {
            probe.cancel();
        }
    }

    private *openAndPing(timeoutMs: number): Operation<UpstreamConnection | undefined> {
        const opened = yield* this.connector.connect(this.upstream, timeoutMs);
        if (!opened.ok) return undefined;
        let isPooled = false;
        try {
            const response = yield* opened.val.ping();
            if (!response.ok) return undefined;
            this.pool.addAfterFault(opened.val);
            isPooled = true;
            return opened.val;
        }
        finally {
            if (!isPooled) opened.val.close();
        }
    }

    private createSilentFailure<T>(startedAt: number): Result<T, Failure> {
        const elapsed = Math.round(this.clock.now() - startedAt);
        return Err(createFailure(Diagnostics.upstreamSilent, RunOutcome.Unknown, this.upstream.id, elapsed));
    }
}

function waitUntilSettled(task: Task<unknown>): Operation<boolean> {
    return perform<boolean>({
        start: resume => {
            task.onSettled(() => resume(true));
            return () => {};
        },
    });
}
