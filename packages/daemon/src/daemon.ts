import { Clock } from "@vanillarouter/base/clock";
import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { fromPromise } from "@vanillarouter/base/fromPromise";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { Task } from "@vanillarouter/base/task";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { CallerListener } from "@vanillarouter/caller/callerListener";
import { AdministrationServer } from "@vanillarouter/operator/administrationServer";
import { ConfigurationEditor } from "@vanillarouter/platform/configurationEditor";
import { PlatformClient } from "@vanillarouter/platform/platformClient";
import { EntryService } from "@vanillarouter/routing/entry/entryService";
import { KnownGroupViews } from "@vanillarouter/routing/group/knownGroupViews";
import { OwnerHost } from "@vanillarouter/routing/owner/ownerHost";
import { MysqlUpstreamConnector } from "@vanillarouter/upstream/mysqlUpstreamConnector";
import { NodeRoles } from "@vanillarouter/vm/nodeRoles";
import { RunningNode } from "@vanillarouter/vm/runningNode";
import { startVmNode } from "@vanillarouter/vm/startVmNode";
import { VmNode } from "@vanillarouter/vm/vmNode";
import * as bunyan from "bunyan";
import { createHmac } from "node:crypto";
import { readFileSync } from "node:fs";
import { Err, Ok, Result } from "ts-results";
import { CoordinatorHost } from "./coordinatorHost";
import { createCallerLimits } from "./createCallerLimits";
import { DaemonAddresses } from "./daemonAddresses";
import { DaemonSettings } from "./daemonSettings";
import { DaemonView } from "./daemonView";
import { Diagnostics } from "./diagnostics";
import { ObservedUpstreamConnector } from "./observedUpstreamConnector";

interface DaemonOptions {
    readonly settings: DaemonSettings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: bunyan;
    /** Called with the bound addresses once callers are served. */
    readonly onReady: (addresses: DaemonAddresses) => void;
}

/** Components that need the node. They are created while the node starts. */
interface DaemonComponents {
    readonly groups: KnownGroupViews;
    readonly owners: OwnerHost;
    readonly coordinators: CoordinatorHost;
    readonly entry: EntryService;
    readonly listener: CallerListener;
}

const roleCheckIntervalMs = 250;
const maxRoleUpdateIntervalMs = 10_000;
const readyCheckTimeoutMs = 5_000;

/** The daemon of one VM. Creates and connects the components of all roles. */
export class Daemon {
    private state: "starting" | "serving" | "draining" = "starting";
    private readonly drainRequested = Signal.create<void>();
    private readonly counters = CounterMetrics.create();
    private readonly platform: PlatformClient;
    private components: DaemonComponents | undefined;
    /** Set if the node stopped because of an unexpected error. */
    private nodeFailure: Failure | undefined;

    private constructor(private readonly options: DaemonOptions) {
        this.platform = PlatformClient.create(options.settings.platform);
    }

    public static create(options: DaemonOptions): Daemon {
        return new Daemon(options);
    }

    /** Starts the graceful shutdown; `run` returns when it is complete. */
    public startDrain(): void {
        if (this.state === "draining") return;
        this.options.logger.info({}, "daemon.draining");
        this.state = "draining";
        this.drainRequested.notifyAll();
    }

    /** Serves until a requested shutdown is complete. Fails if an address cannot be bound. */
    public *run(): Operation<Result<void, Failure>> {
        const running = yield* this.startNode();
        if (running.err) return running;
        const { node } = running.val;
        const components = this.components!;
        const tasks = [Task.start(this.runNode(node)), Task.start(this.maintainRoles(node, components))];
        const administration = this.createAdministration(running.val, components);
        try {
            const served = yield* this.serve(running.val, components, administration);
            if (served.err) return served;
            yield* this.drain(running.val, components);
            return this.nodeFailure === undefined ? Ok(undefined) : Err(this.nodeFailure);
        }
        finally {
            for (const task of tasks) task.cancel();
            components.listener.close();
            yield* components.coordinators.close();
            yield* components.owners.close();
            yield* running.val.close();
            administration.close();
            this.platform.close();
        }
    }

    private *startNode(): Operation<Result<RunningNode, Failure>> {
        const { settings, clock, random, logger } = this.options;
        const { vm, cluster } = settings;
        const [certificate, privateKey, authority] = [cluster.certificateFile, cluster.privateKeyFile, cluster.authorityFile].map(file =>
            readFileSync(file, "utf8")
        ) as [string, string, string];
        const incarnation = Date.now();
        return yield* startVmNode({
            settings: { ...vm, clusterKey: cluster.key, tls: { certificate, privateKey, authority }, incarnation },
            store: this.platform,
            list: this.platform,
            clock,
            random,
            readWallTime: () => Date.now(),
            createRoles: node => this.createRoles(node),
            onEvent: (event, fields) => logger.info({ ...fields, cause: formatCause(fields["cause"]) }, `node.${event}`),
        });
    }

    private createRoles(node: VmNode): NodeRoles {
        const { settings, clock, random, logger } = this.options;
        const groups = KnownGroupViews.create();
        const connector = ObservedUpstreamConnector.create(MysqlUpstreamConnector.create({ ...settings.upstream, clock }), node);
        const { configuration } = node;
        const owners = OwnerHost.create({ clock, random, connector, groups, owners: node.owners, configuration, logger });
        const coordinators = CoordinatorHost.create({ clock, random, node, connector, groups, logger });
        const tokenKey = createHmac("sha256", settings.cluster.key).update("session token").digest();
        const entry = EntryService.create({ clock, random, configuration, groups, owners: node.owners, tokenKey });
        const limits = createCallerLimits(settings.caller);
        const listener = CallerListener.create({ configuration, sessionFactory: entry, clock, logger, counters: this.counters, limits });
        this.components = { groups, owners, coordinators, entry, listener };
        return { owner: owners, groups, shares: { collect: () => owners.exportShares(), learn: shares => owners.importShares(shares) } };
    }

    private *runNode(node: VmNode): Operation<void> {
        try {
            yield* node.run();
        }
        catch (err) {
            const failure = createFailure(Diagnostics.unexpectedError, RunOutcome.Unknown, String(err));
            this.options.logger.error({ code: failure.code, err: err instanceof Error ? err.stack : String(err) }, "node.failed");
            this.nodeFailure = failure;
            this.startDrain();
        }
    }

    /**
     * Starts and stops roles when the membership or configuration changes, and when this VM loses or regains the right to use
     * its roles, for example after a pause. Each update visits all groups, which takes milliseconds with thousands of
     * groups, so it runs only on a change or after `maxRoleUpdateIntervalMs`.
     */
    private *maintainRoles(node: VmNode, components: DaemonComponents): Operation<never> {
        const { clock } = this.options;
        let isChanged = true;
        let couldUseRoles = false;
        let updatedAt = clock.now();
        for (;;) {
            const canUseRoles = node.checkRoles() === undefined;
            if (isChanged || canUseRoles !== couldUseRoles || clock.now() - updatedAt >= maxRoleUpdateIntervalMs) {
                couldUseRoles = canUseRoles;
                updatedAt = clock.now();
                components.owners.setOwned(node.owners.listOwned().map(upstream => upstream.id));
                components.coordinators.update();
            }
            isChanged = yield* race([waitForChange(node), returnFalseAfter(clock, roleCheckIntervalMs)]);
        }
    }

    private createAdministration(running: RunningNode, components: DaemonComponents): AdministrationServer {
        const { settings, clock, random, logger } = this.options;
        const view = DaemonView.create({
            vm: settings.vm.id,
            running,
            listener: components.listener,
            groups: components.groups,
            owners: components.owners,
            coordinators: components.coordinators,
            entryMetrics: components.entry.metrics,
            counters: this.counters,
            platform: this.platform,
            readState: () => this.state,
            startDrain: () => this.startDrain(),
        });
        const writer = ConfigurationEditor.create({
            store: this.platform,
            clock,
            random,
            readWallTime: () => Date.now(),
            findKnownShard: name => running.node.replica.find(name),
        });
        const onError = (err: unknown): void => logger.error({ err: err instanceof Error ? err.stack : String(err) }, "administration.failed");
        return AdministrationServer.create({ credential: settings.administration.credential, view, writer, onError });
    }

    /** Starts the administration API, waits until the VM is ready, starts the caller listener and waits for a shutdown request. */
    private *serve(running: RunningNode, components: DaemonComponents, administration: AdministrationServer): Operation<Result<void, Failure>> {
        const { settings } = this.options;
        const administrationPort = yield* listen(settings.administration, (host, port) => administration.listen(host, port));
        if (administrationPort.err) return administrationPort;
        const leaveTask = Task.start(this.drainOnLeaveRequest(running.node));
        try {
            while (this.state === "starting" && !(yield* this.isReady(running.node))) continue;
            if (this.state === "draining") return Ok(undefined);
            const callerPort = yield* listen(settings.caller, (host, port) => components.listener.listen(host, port));
            if (callerPort.err) return callerPort;
            this.state = "serving";
            const { heartbeatPort, linkPort } = running;
            const addresses = { callerPort: callerPort.val, administrationPort: administrationPort.val, heartbeatPort, linkPort };
            this.options.logger.info({ vm: settings.vm.id, ...addresses }, "daemon.serving");
            this.options.onReady(addresses);
            yield* this.drainRequested.wait();
            return Ok(undefined);
        }
        finally {
            leaveTask.cancel();
        }
    }

    private *isReady(node: VmNode): Operation<boolean> {
        const ready = yield* race<Result<void, Failure> | void>([node.waitForReadiness(readyCheckTimeoutMs), this.drainRequested.wait()]);
        if (ready === undefined || ready.ok) return ready !== undefined;
        const failure = createFailure(Diagnostics.notReadyYet, RunOutcome.DidNotRun, ready.val.message);
        this.options.logger.warn({ code: failure.code, reason: failure.message }, "daemon.not_ready");
        return false;
    }

    private *drainOnLeaveRequest(node: VmNode): Operation<void> {
        yield* node.leaveRequested.wait();
        this.startDrain();
    }

    /**
     * Announces that this VM is leaving, so that its roles move to other VMs. Then gives the load balancer time to notice, and
     * waits for statements and transactions in progress to finish.
     */
    private *drain(running: RunningNode, components: DaemonComponents): Operation<void> {
        const { settings, clock, logger } = this.options;
        const { announceMs, timeoutMs } = settings.shutdown;
        const announcedAt = clock.now();
        const deadline = announcedAt + announceMs + timeoutMs;
        yield* running.node.leave();
        const ownerDrain = Task.start(components.owners.drain());
        yield* sleep(clock, Math.max(0, announceMs - (clock.now() - announcedAt)));
        const remaining = yield* components.listener.drain(timeoutMs);
        if (remaining > 0) {
            const failure = createFailure(Diagnostics.drainIncomplete, RunOutcome.Unknown, remaining, timeoutMs);
            logger.warn({ code: failure.code, reason: failure.message }, "daemon.drain_incomplete");
        }
        yield* withTimeout(clock, Math.max(0, deadline - clock.now()), ownerDrain.join());
        logger.info({ endedByForce: remaining }, "daemon.drained");
    }
}

function* waitForChange(node: VmNode): Operation<boolean> {
    yield* race<unknown>([node.owners.changed.wait(), node.configuration.changed.wait()]);
    return true;
}

function* returnFalseAfter(clock: Clock, delayMs: number): Operation<boolean> {
    yield* sleep(clock, delayMs);
    return false;
}

function* listen(
    address: { readonly host: string; readonly port: number; },
    start: (host: string, port: number) => Promise<number>,
): Operation<Result<number, Failure>> {
    const { host, port } = address;
    const bound = start(host, port).then(
        (value): Result<number, Failure> => Ok(value),
        (err: unknown): Result<number, Failure> => Err(createFailure(Diagnostics.addressNotBound, RunOutcome.DidNotRun, host, port, String(err))),
    );
    return yield* fromPromise(bound);
}

function formatCause(cause: unknown): unknown {
    return typeof cause === "object" && cause !== null && "message" in cause ? cause.message : cause;
}
