import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { Err, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { StatementKind } from "../entry/statementKind";
import { UpstreamConnection } from "../group/upstreamConnection";
import { UpstreamResponse } from "../group/upstreamResponse";
import { OwnerRequest } from "../owner/ownerRequest";
import { FakeGroup } from "./fakeGroup";

/** Timeout of a statement, in milliseconds. */
const statementTimeoutMs = 100;
const maxAttempts = 3;

/**
 * A naive implementation of an owner, the baseline for `UpstreamOwner`: it reuses connections after a timeout, serves
 * statements in FIFO order, acknowledges writes that only the primary holds, and retries under a new id after a lost
 * response.
 */
export class NaiveOwner {
    private readonly idle: UpstreamConnection[] = [];
    private retries = 0;

    private constructor(private readonly group: FakeGroup, private readonly upstream: string) {}

    public static create(group: FakeGroup, upstream: string): NaiveOwner {
        return new NaiveOwner(group, upstream);
    }

    public *execute(req: OwnerRequest): Operation<Result<UpstreamResponse, Failure>> {
        for (let attempt = 0; attempt < maxAttempts; attempt++) {
            const response = yield* this.attempt(req, attempt === 0 ? req.requestId : `${req.requestId}-retry${this.retries++}`);
            if (response !== undefined && (response.ok || response.val.outcome !== RunOutcome.Unknown)) return response;
        }
        return Err(createFailure(Diagnostics.timedOut, RunOutcome.DidNotRun, req.timeoutMs));
    }

    private *attempt(req: OwnerRequest, id: string): Operation<Result<UpstreamResponse, Failure> | undefined> {
        const connection = yield* this.acquire();
        if (connection === undefined) return undefined;
        const term = this.group.get(this.upstream).acceptedTerm;
        const statement = req.kind === StatementKind.Write ? connection.write(req.sql, term, id) : connection.read(req.sql, undefined);
        const response = yield* withTimeout(this.group.clock, statementTimeoutMs, statement);
        this.idle.push(connection);
        return response;
    }

    private *acquire(): Operation<UpstreamConnection | undefined> {
        const connection = this.idle.shift();
        if (connection?.isOpen) return connection;
        const opened = yield* this.group.connect(this.group.get(this.upstream).settings, statementTimeoutMs);
        return opened.ok ? opened.val : undefined;
    }
}
