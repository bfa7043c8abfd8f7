import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { ManualClock } from "@vanillarouter/base/manualClock";
import { MemberState } from "@vanillarouter/vm/memberState";
import { MemberTable } from "@vanillarouter/vm/memberTable";
import { RoleAssignment } from "@vanillarouter/vm/roleAssignment";
import { CapacityRow } from "./capacityRow";
import { CapacitySection } from "./capacitySection";
import { fitSlope } from "./fitSlope";
import { readCpuMs } from "./readCpuMs";
import { readHeapBytes } from "./readHeapBytes";

const zoneCount = 15;
const rounds = 5;

function createGroups(count: number): readonly DatabaseGroup[] {
    return Array.from({ length: count }, (_, index) => ({
        name: `g${index}`,
        upstreams: [0, 1, 2].map(number => ({
            id: `g${index}-${number}`,
            zone: `z${(index + number) % zoneCount}`,
            host: "h",
            port: 1,
            slots: 5,
            maxConnections: 30,
        })),
    }));
}

function measureFleet(vms: number, groupCount: number): CapacityRow {
    const groups = createGroups(groupCount);
    const heapBefore = readHeapBytes();
    const table = MemberTable.create(ManualClock.create());
    const describe = (index: number, incarnation: number): Parameters<MemberTable["merge"]>[0] => ({
        vm: {
            id: `vm${index}`,
            zone: `z${index % zoneCount}`,
            host: `10.0.${index >> 8}.${index & 255}`,
            heartbeatPort: 1,
            linkPort: 2,
            incarnation,
            leaving: false,
        },
        state: MemberState.Alive,
    });
    for (let index = 0; index < vms; index++) table.merge(describe(index, 1));
    const tableBytes = readHeapBytes() - heapBefore;
    const roles = RoleAssignment.create(table, "vm0");
    const assign = (): void => {
        for (const group of groups) {
            for (const upstream of group.upstreams) roles.orderOwners(upstream.id, upstream.zone);
            roles.findCoordinatorPlace(group);
        }
    };
    assign();
    const ordersBytes = readHeapBytes() - heapBefore - tableBytes;
    const cpuBefore = readCpuMs();
    for (let round = 0; round < rounds; round++) {
        table.merge(describe(0, 2 + round));
        assign();
    }
    return { figures: { vms, groups: groupCount, tableBytes, ordersBytes, changeCpuMs: (readCpuMs() - cpuBefore) / rounds } };
}

/** Measures the table of all members and the new assignment of all roles after one change of a member. */
export function measureRoles(fleets: readonly (readonly [vms: number, groups: number])[]): CapacitySection {
    measureFleet(...fleets[0]!);
    const rows = fleets.map(([vms, groups]) => measureFleet(vms, groups));
    const slope = (x: string, y: string): number => fitSlope(rows.map(row => [row.figures[x]!, row.figures[y]!]));
    return {
        name: "roles",
        method: "one table of members of 15 zones; a member of one zone changes, then the owners of all upstreams and the place in all groups are asked for",
        rows,
        slopes: { tableBytesPerVm: slope("vms", "tableBytes"), changeCpuMsPerGroup: slope("groups", "changeCpuMs") },
    };
}
