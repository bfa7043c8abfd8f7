import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { Failure } from "@vanillarouter/base/failure";
import { GroupView } from "@vanillarouter/base/groupView";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { Task } from "@vanillarouter/base/task";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { GroupDirectory } from "../group/groupDirectory";
import { UpstreamConnection } from "../group/upstreamConnection";
import { UpstreamConnector } from "../group/upstreamConnector";
import { UpstreamControl } from "../group/upstreamControl";
import { FakeConnection } from "./fakeConnection";
import { FakeGroupOptions } from "./fakeGroupOptions";
import { FakeLogEntry } from "./fakeLogEntry";
import { FakeUpstream } from "./fakeUpstream";
import { FakeUpstreamControl } from "./fakeUpstreamControl";

/**
 * An in-memory database group for tests and measurements, with terms, logs, replication, slots and connections on a given
 * clock. Implements both the connector to the upstreams and the directory of the group. The first upstream is primary in
 * term 1.
 */
export class FakeGroup implements UpstreamConnector, GroupDirectory {
    public readonly changed = Signal.create<GroupView>();
    public readonly clock: Clock;
    public readonly group: DatabaseGroup;
    public readonly networkMs: number;
    public readonly connections: FakeConnection[] = [];
    /** Number of status reads of upstreams. */
    public statusReads = 0;
    /** Number of calls of `waitForLogEntry` on upstreams. */
    public waitForLogEntryCalls = 0;
    private readonly upstreams: ReadonlyMap<string, FakeUpstream>;
    private view: GroupView;

    private constructor(private readonly options: FakeGroupOptions) {
        this.clock = options.clock;
        this.group = options.group;
        this.networkMs = options.networkMs ?? 0.5;
        this.upstreams = new Map(options.group.upstreams.map(settings => [settings.id, FakeUpstream.create(settings, options.clock)]));
        const first = options.group.upstreams[0]!.id;
        this.view = { group: options.group.name, term: 1, primary: first };
        this.setPrimary(first);
    }

    public static create(options: FakeGroupOptions): FakeGroup {
        return new FakeGroup(options);
    }

    public find(group: string): GroupView | undefined {
        return group === this.group.name ? this.view : undefined;
    }

    public learn(view: GroupView): boolean {
        if (view.term <= this.view.term) return false;
        this.view = view;
        this.changed.notifyAll(view);
        return true;
    }

    public get(upstream: string): FakeUpstream {
        return this.upstreams.get(upstream)!;
    }

    /** Log of the current primary, which is the authoritative log of the group. */
    public get finalLog(): readonly FakeLogEntry[] {
        return this.get(this.view.primary!).log;
    }

    /**
     * Promotes the reachable upstream with the newest log, other than `excluded`, in the next term, as a coordinator does.
     * The directory is updated after `learnAfterMs`; until then owners use the old primary. Returns the new primary, or
     * undefined without a majority.
     */
    public failOver(excluded?: string, learnAfterMs = 0): string | undefined {
        const term = Math.max(...[...this.upstreams.values()].map(upstream => upstream.acceptedTerm)) + 1;
        const voters = [...this.upstreams.values()].filter(upstream => upstream.isReachable && upstream.settings.id !== excluded);
        if (voters.length * 2 <= this.upstreams.size) return undefined;
        for (const voter of voters) voter.acceptedTerm = term;
        const getLogOrder = (upstream: FakeUpstream): number => upstream.received.term * 1e9 + upstream.received.position;
        const best = voters.reduce((first, second) => getLogOrder(second) > getLogOrder(first) ? second : first);
        this.setPrimary(best.settings.id);
        this.clock.startTimer(learnAfterMs, () => this.learn({ group: this.group.name, term, primary: best.settings.id }));
        return best.settings.id;
    }

    /** Clears all faults and makes every upstream follow the primary of the highest term. */
    public heal(): void {
        const term = Math.max(...[...this.upstreams.values()].map(upstream => upstream.acceptedTerm));
        const primary = [...this.upstreams.values()].find(upstream => upstream.isPrimary && upstream.acceptedTerm === term);
        for (const upstream of this.upstreams.values()) {
            upstream.isReachable = true;
            upstream.isReplicating = true;
            upstream.slowdownFactor = 1;
            upstream.responsesToLose = 0;
            if (primary === undefined || upstream === primary) continue;
            upstream.acceptedTerm = term;
            upstream.isPrimary = false;
            upstream.primary = primary.settings.id;
            upstream.replicateFrom(primary);
        }
    }

    public getStatementMs(sql: string): number {
        return this.options.getStatementMs?.(sql) ?? 2;
    }

    /** Replicates new log entries of a primary to the upstreams that follow it. */
    public replicate(primary: FakeUpstream): void {
        this.clock.startTimer(this.networkMs, () => {
            if (!primary.isPrimary) return;
            for (const upstream of this.upstreams.values()) if (upstream !== primary) upstream.replicateFrom(primary);
        });
    }

    public *connect(upstream: UpstreamSettings, timeoutMs: number): Operation<Result<UpstreamConnection, Failure>> {
        const target = this.get(upstream.id);
        yield* sleep(this.clock, Math.min(this.options.connectMs ?? 10, timeoutMs));
        if (!target.isReachable || target.openConnections >= upstream.maxConnections) {
            return Err(createFailure(Diagnostics.connectionLost, RunOutcome.DidNotRun, upstream.id, "refused"));
        }
        const connection = FakeConnection.create(this, target);
        this.connections.push(connection);
        return Ok(connection);
    }

    public openControl(upstream: UpstreamSettings): UpstreamControl {
        return FakeUpstreamControl.create(this, this.get(upstream.id));
    }

    /**
     * Sends a request to an upstream and returns its response. The upstream continues even if the calling task is cancelled.
     * Requests and responses are lost while `isDisconnected` returns true or the upstream is unreachable.
     */
    public request<T>(upstream: FakeUpstream, isDisconnected: () => boolean, serve: () => Operation<T>): Operation<T> {
        return perform<T>({
            start: resume => {
                this.sendRequest(upstream, isDisconnected, serve, resume);
                return () => {};
            },
        });
    }

    /** Like `request`, but passes the response to a listener. */
    public sendRequest<T>(upstream: FakeUpstream, isDisconnected: () => boolean, serve: () => Operation<T>, listener: (response: T) => void): void {
        const deliver = (task: Task<T>): void => {
            if (!isDisconnected() && upstream.isReachable) task.deliver(listener, () => {});
        };
        this.clock.startTimer(this.networkMs, () => {
            if (isDisconnected() || !upstream.isReachable) return;
            const task = Task.start(serve());
            task.onSettled(() => this.clock.startTimer(this.networkMs, () => deliver(task)));
        });
    }

    /** Like `request`, but fails with outcome Unknown after `timeoutMs`. */
    public *requestWithTimeout<T>(upstream: FakeUpstream, timeoutMs: number, serve: () => Operation<Result<T, Failure>>): Operation<Result<T, Failure>> {
        const response = yield* withTimeout(this.clock, timeoutMs, this.request(upstream, () => false, serve));
        return response ?? Err(createFailure(Diagnostics.timedOut, RunOutcome.Unknown, timeoutMs));
    }

    private setPrimary(id: string): void {
        for (const upstream of this.upstreams.values()) {
            const isInSameTerm = upstream.acceptedTerm === this.get(id).acceptedTerm;
            if (!isInSameTerm) continue;
            upstream.isPrimary = upstream.settings.id === id;
            upstream.primary = id;
        }
        const primary = this.get(id);
        primary.append({ sql: "", isCancellation: false });
        this.replicate(primary);
    }
}
