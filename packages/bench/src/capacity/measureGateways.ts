import { SystemClock } from "@vanillarouter/base/systemClock";
import { encodeMessage } from "@vanillarouter/relay/encodeMessage";
import { RelayTestBed } from "@vanillarouter/relay/testing/relayTestBed";
import { ClusterState } from "@vanillarouter/session/cluster/clusterState";
import { GatewayAssignment } from "@vanillarouter/session/cluster/gatewayAssignment";
import { StatementKind } from "@vanillarouter/session/model/statementKind";
import { CapacityRow } from "./capacityRow";
import { CapacitySection } from "./capacitySection";
import { fitSlope } from "./fitSlope";
import { readCpuMs } from "./readCpuMs";
import { readHeapBytes } from "./readHeapBytes";

const concurrency = 20;
const service = "orders";
const zoneCount = 15;

async function relayStatements(bed: RelayTestBed, statements: number): Promise<void> {
    for (let sent = 0; sent < statements; sent += concurrency) {
        const ids = Array.from({ length: concurrency }, (_, index) => `s${sent + index}`);
        await Promise.all(ids.map(id => bed.run(bed.executor.runStatement(bed.createRequest(id, true), bed.createStatement(id, StatementKind.Read)))));
    }
}

async function measureRelayedStatements(statements: number): Promise<CapacityRow> {
    const bed = await RelayTestBed.create(1);
    // Warm-up run, which is not measured.
    await relayStatements(bed, statements / 10);
    const before = readCpuMs();
    await relayStatements(bed, statements);
    const cpuMs = readCpuMs() - before;
    bed.close();
    return { figures: { statements, cpuMs } };
}

async function measureGatewayLinks(gateways: number): Promise<CapacityRow> {
    // Warm-up run, which is not measured.
    await RelayTestBed.create(1).then(bed => bed.close());
    const before = readHeapBytes();
    const bed = await RelayTestBed.create(gateways);
    for (const { id } of bed.gateways) await bed.run(bed.relayGateways.getOrCreate(bed.findMember(id)).obtainLink());
    const heapKilobytes = (readHeapBytes() - before) / 1_000;
    bed.close();
    return { figures: { gateways, heapKilobytes } };
}

function createCluster(vms: number, services: number): ClusterState {
    const members = Array.from(
        { length: vms },
        (_, index) => ({ id: `vm-${index}`, zone: `z${index % zoneCount}`, relayAddress: "h:1", capacity: 1, isLeaving: false }),
    );
    const cluster = ClusterState.create(members[0]!, SystemClock.create());
    for (const member of members) cluster.putMember(member);
    const names = Array.from({ length: services }, (_, index) => `${service}-${index}`);
    const settings = new Map(names.map(name => [name, { name, maxConnections: 49 }]));
    cluster.applyConfiguration({ version: 1, classes: new Map(), services: settings, transactionIdleMs: 0 });
    return cluster;
}

function measureAssignment(vms: number, services: number): CapacityRow {
    const assignment = GatewayAssignment.create(createCluster(vms, services));
    const before = readCpuMs();
    for (let index = 0; index < services; index++) assignment.list(`${service}-${index}`);
    return { figures: { vms, services, memberServices: vms * services, cpuMs: readCpuMs() - before } };
}

/** Returns the length of the request and the response of one small read, in bytes. */
function measureMessageBytes(): number {
    const session = { values: [["mode", "fast"] as [string, string]] };
    const workClass = { database: "orders1", service, freshness: "latest", maxAgeMs: 0, statementTimeoutMs: 1_000, targetMs: 200, rank: 0 };
    const operation = { id: "5c0e7a21d94b36f8", workClass, floor: { term: 3, position: 1_207 }, waitedMs: 1.25, readOnly: true, mayRead: true };
    const statement = { id: "5c0e7a21d94b36f8", kind: StatementKind.Read, text: "READ 1a4", name: "1a4", argument: "", readOnly: true };
    const call = 1;
    const request = encodeMessage({ kind: "run", call, operation, statement, session } as Parameters<typeof encodeMessage>[0]);
    const outcome = { rows: ["qhzkwmtrbelo"], receipt: "7.1f3.c.2b.90e1c4d2a7b3f655", text: "" };
    return request.length + encodeMessage({ kind: "outcome", call, outcome, floor: { term: 3, position: 1_207 } }).length;
}

/** Measures the cost of relaying statements to gateways: processor time, message bytes, memory of links and the assignment of gateways. */
export async function measureGateways(
    statementCounts: readonly number[],
    gatewayCounts: readonly number[],
    vmCounts: readonly number[],
): Promise<readonly CapacitySection[]> {
    // Memory is measured first, because garbage from the statements would mask the memory of the links.
    const linkRows: CapacityRow[] = [];
    for (const count of gatewayCounts) linkRows.push(await measureGatewayLinks(count));
    const statementRows: CapacityRow[] = [];
    for (const count of statementCounts) statementRows.push(await measureRelayedStatements(count));
    const assignmentRows = vmCounts.map(vms => measureAssignment(vms, 100));
    return [{
        name: "relayed statements",
        method: "both ends and a forwarding proxy in one process on loopback, 20 statements at a time; bytes of one small read",
        rows: statementRows,
        slopes: {
            cpuMsPerStatementBothEnds: fitSlope(statementRows.map(row => [row.figures["statements"]!, row.figures["cpuMs"]!])),
            bytesPerStatement: measureMessageBytes(),
        },
    }, {
        name: "links to gateways",
        method: "idle links, both ends and a proxy in one process",
        rows: linkRows,
        slopes: { heapKilobytesPerLinkBothEnds: fitSlope(linkRows.map(row => [row.figures["gateways"]!, row.figures["heapKilobytes"]!])) },
    }, {
        name: "choice of gateways",
        method: "one VM recomputes the gateways of 100 services, as after each change of the member or service list",
        rows: assignmentRows,
        slopes: { cpuMsPerMemberAndService: fitSlope(assignmentRows.map(row => [row.figures["memberServices"]!, row.figures["cpuMs"]!])) },
    }];
}
