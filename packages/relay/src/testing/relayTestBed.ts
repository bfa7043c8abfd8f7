import { Operation } from "@vanillarouter/base/operation";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { SystemClock } from "@vanillarouter/base/systemClock";
import { Task } from "@vanillarouter/base/task";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { ClusterState } from "@vanillarouter/session/cluster/clusterState";
import { StoreWatchers } from "@vanillarouter/session/cluster/storeWatchers";
import { CallerRequest } from "@vanillarouter/session/entry/callerRequest";
import { EntryMetrics } from "@vanillarouter/session/entry/entryMetrics";
import { FloorTable } from "@vanillarouter/session/entry/floorTable";
import { SessionValues } from "@vanillarouter/session/entry/sessionValues";
import { CallerStatement } from "@vanillarouter/session/model/callerStatement";
import { Freshness } from "@vanillarouter/session/model/freshness";
import { MemberEntry } from "@vanillarouter/session/model/memberEntry";
import { StatementKind } from "@vanillarouter/session/model/statementKind";
import { StoreChange } from "@vanillarouter/session/model/storeChange";
import { DecisionLog } from "@vanillarouter/session/observability/decisionLog";
import { QuotaGrant } from "@vanillarouter/session/quota/quotaGrant";
import { QuotaRequest } from "@vanillarouter/session/quota/quotaRequest";
import * as bunyan from "bunyan";
import { AddressInfo, connect, createServer, Server, Socket } from "node:net";
import { ChangeFollower } from "../changeFollower";
import { ChangeLog } from "../changeLog";
import { RelayExecutor } from "../relayExecutor";
import { RelayGateways } from "../relayGateways";
import { RelayRequestHandler } from "../relayRequestHandler";
import { RelayServer } from "../relayServer";
import { FakeExecutor } from "./fakeExecutor";

const service = "orders";
const host = "127.0.0.1";

interface TestGateway {
    readonly id: string;
    readonly executor: FakeExecutor;
    readonly server: RelayServer;
    readonly proxy: Server;
    readonly listener: Server;
    readonly sockets: Set<Socket>;
    /** While true, the proxy drops the bytes of both directions. */
    isSilent: boolean;
    declines: boolean;
    readonly changeLog: ChangeLog;
    /** The configuration that the gateway reads from the store. */
    configuration: StoreChange | undefined;
    grantTokens: (request: QuotaRequest) => QuotaGrant;
}

/** A test fixture with one entry VM and several gateways on loopback, each behind a proxy that can drop bytes or close connections. */
export class RelayTestBed {
    public readonly clock = SystemClock.create();
    public readonly gateways: TestGateway[] = [];
    public readonly executor: RelayExecutor;
    public readonly relayGateways: RelayGateways;
    public readonly floors = FloorTable.create();
    public readonly session = SessionValues.create();
    private readonly tasks = TaskGroup.create(() => undefined);
    private readonly log = bunyan.createLogger({ name: "test", streams: [] });
    private readonly cluster = ClusterState.create({ id: "entry", zone: "z0", relayAddress: undefined, capacity: 1, isLeaving: false }, this.clock);

    private constructor() {
        this.relayGateways = RelayGateways.create(this.cluster, this.clock, "z1", this.tasks, SeededRandom.create(1), this.log);
        const decisions = DecisionLog.create(this.log, this.clock);
        this.executor = RelayExecutor.create({ clock: this.clock, gateways: this.relayGateways, decisions, metrics: EntryMetrics.create() });
        this.tasks.start(this.relayGateways.maintainLinks());
    }

    /** Starts the gateways g1 to g<count>; g1 is in the entry VM's zone and is tried first. */
    public static async create(count: number): Promise<RelayTestBed> {
        const bed = new RelayTestBed();
        bed.cluster.applyConfiguration({
            version: 1,
            classes: new Map(),
            services: new Map([[service, { name: service, maxConnections: 8 }]]),
            transactionIdleMs: 0,
        });
        for (let index = 1; index <= count; index++) await bed.addGateway(`g${index}`, `z${index}`);
        return bed;
    }

    public createRequest(id: string, readOnly: boolean): CallerRequest {
        const workClass = { database: "db", service, freshness: Freshness.Latest, maxAgeMs: 0, statementTimeoutMs: 1_500, targetMs: 200, rank: 0 };
        return { id, workClass, session: this.session, floors: this.floors, receivedAt: this.clock.now(), readOnly, mayRead: readOnly };
    }

    public createStatement(id: string, kind: StatementKind): CallerStatement {
        return { id, kind, text: `${kind} k`, name: "", argument: "", readOnly: kind === StatementKind.Read };
    }

    public run<T>(operation: Operation<T>): Promise<T> {
        return Task.start(operation).toPromise();
    }

    public find(id: string): TestGateway {
        return this.gateways.find(gateway => gateway.id === id)!;
    }

    /** Creates a follower on the entry VM that treats all gateways as watchers. */
    public createFollower(readItem: (key: string, era: number) => Operation<StoreChange | undefined>): ChangeFollower {
        const members = this.gateways.map(gateway => this.findMember(gateway.id));
        const watchers = { includesSelf: false, list: () => members } as unknown as StoreWatchers;
        return ChangeFollower.create(watchers, this.relayGateways, this.clock, { id: "entry", zone: "z1" }, readItem);
    }

    /** Returns a gateway as the entry VM's member list contains it. */
    public findMember(id: string): MemberEntry {
        return this.cluster.findMember(id)!;
    }

    /** Closes all connections of a gateway and refuses new ones. */
    public kill(id: string): void {
        const gateway = this.find(id);
        gateway.proxy.close();
        for (const socket of gateway.sockets) socket.destroy();
    }

    public close(): void {
        Task.start(this.tasks.cancelAll());
        for (const gateway of this.gateways) {
            gateway.listener.close();
            this.kill(gateway.id);
        }
    }

    private async addGateway(id: string, zone: string): Promise<void> {
        const executor = FakeExecutor.create(id);
        const changeLog = ChangeLog.create(this.clock);
        const self: MemberEntry = { id, zone, relayAddress: undefined, capacity: 1, isLeaving: false };
        const cluster = ClusterState.create(self, this.clock);
        const server = RelayServer.create(
            this.clock,
            this.tasks,
            this.log,
            () =>
                RelayRequestHandler.create(
                    cluster,
                    () => gateway.declines,
                    executor,
                    changeLog,
                    this.clock,
                    ({ revision }) => readNewer(gateway.configuration, revision),
                    request => gateway.grantTokens(request),
                ),
        );
        const listener = server.createServer();
        const gateway: TestGateway = {
            id,
            executor,
            server,
            proxy: createServer(socket => this.forward(gateway, socket, getPort(listener))),
            listener,
            sockets: new Set(),
            isSilent: false,
            declines: false,
            changeLog,
            configuration: undefined,
            grantTokens: ({ count }) => ({ count, retryMs: 0 }),
        };
        for (const opened of [listener, gateway.proxy]) await new Promise<void>(resolve => opened.listen(0, host, resolve));
        this.gateways.push(gateway);
        this.cluster.putMember({ ...self, relayAddress: `${host}:${getPort(gateway.proxy)}` });
    }

    private forward(gateway: TestGateway, socket: Socket, serverPort: number): void {
        const server = connect({ host, port: serverPort });
        for (const [from, to] of [[socket, server], [server, socket]] as const) {
            gateway.sockets.add(from);
            from.on("data", (data: Buffer) => gateway.isSilent || to.write(data));
            from.on("error", () => to.destroy());
            from.on("close", () => to.destroy());
        }
    }
}

function* readNewer(configuration: StoreChange | undefined, revision: number): Operation<StoreChange | undefined> {
    return configuration !== undefined && configuration.revision > revision ? configuration : undefined;
}

function getPort(server: Server): number {
    return (server.address() as AddressInfo).port;
}
