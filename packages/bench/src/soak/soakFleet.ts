import { LinePlatform } from "@vanillarouter/standins/line/linePlatform";
import { PortReservations } from "@vanillarouter/standins/portReservations";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FaultProxy } from "./faultProxy";
import { SoakVm } from "./soakVm";

/** The platform stand-in and VMs that use it, with a fault proxy in front of each upstream and one between each VM and the store. */
export class SoakFleet {
    private constructor(
        public readonly platform: LinePlatform,
        public readonly vms: readonly SoakVm[],
        public readonly upstreamProxies: readonly FaultProxy[],
        public readonly storeProxies: readonly FaultProxy[],
        private readonly ports: PortReservations,
        /** Folder with the logs of the VMs. */
        public readonly folder: string,
    ) {}

    /** `configure` puts the first configuration of the run in force, before the VMs start. */
    public static async create(vmCount: number, maxConnections: number, configure: (platform: LinePlatform) => void): Promise<SoakFleet> {
        const upstreamProxies: FaultProxy[] = [];
        const platform = await LinePlatform.create(maxConnections, async address => {
            const proxy = await FaultProxy.create(address);
            upstreamProxies.push(proxy);
            return proxy.address;
        });
        configure(platform);
        const folder = mkdtempSync(join(tmpdir(), "vanillarouter-soak-"));
        const storeProxies: FaultProxy[] = [];
        const vms: SoakVm[] = [];
        const ports = PortReservations.create();
        for (let index = 1; index <= vmCount; index++) {
            const proxy = await FaultProxy.create(platform.store.address);
            storeProxies.push(proxy);
            vms.push(await SoakVm.create(`vm-${index}`, `zone-${index % 3}`, proxy.address, folder, ports));
        }
        return new SoakFleet(platform, vms, upstreamProxies, storeProxies, ports, folder);
    }

    public async close(): Promise<void> {
        await Promise.all(this.vms.map(vm => vm.close()));
        for (const proxy of [...this.upstreamProxies, ...this.storeProxies]) proxy.close();
        this.platform.close();
        this.ports.release();
    }
}
