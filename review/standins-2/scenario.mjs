/** A small deployment for one case: the store, one service of three backends and some VMs, with a record of what happens. */
import { existsSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Client, Deployment } from "./deployment.mjs";
import { Group } from "./group.mjs";
import { Store } from "./store.mjs";

const exitHeld = 0;
const exitBroken = 1;
const exitNotRun = 2;
const settleMs = 3_000;

const configuration = {
    version: 1,
    routes: [
        { name: "r1", host: "orders", service: "ledger", type: "primary", timeout_ms: 1_000, slo_ms: 200, priority: 0 },
        { name: "r2", host: "views", service: "ledger", type: "bounded_staleness", timeout_ms: 3_000, slo_ms: 1_500, priority: 2, max_staleness_ms: 1_500 },
    ],
    services: [{ name: "ledger", max_conns: 33 }],
    limits: { tx_idle_ms: 3_000 },
};

export const hasTrouble = process.env.TROUBLE !== "0";

export function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

export class Scenario {
    lines = [];
    startedAt = Date.now();

    /** Runs a case and exits. `play` returns what broke the rule; undefined if it held. `folder` gets the record. */
    static async run(folder, vmOptions, play) {
        const scenario = new Scenario();
        scenario.record(`trouble: ${hasTrouble}`);
        let exitCode = exitNotRun;
        try {
            if (!existsSync("target/vanillarouter.js")) throw new Error("the build of the deploy file is missing");
            await scenario.start(vmOptions);
            const broken = await play(scenario);
            exitCode = broken === undefined ? exitHeld : exitBroken;
            scenario.record(broken === undefined ? "the rule held" : `the rule was broken: ${broken}`);
        }
        catch (err) {
            scenario.record(`could not run: ${err.stack}`);
        }
        await scenario.deployment?.close();
        scenario.group?.close();
        scenario.store?.close();
        writeFileSync(join(folder, "record.txt"), `${scenario.lines.join("\n")}\n`);
        console.log(scenario.lines.at(-1));
        process.exit(exitCode);
    }

    async start(vmOptions) {
        this.store = await Store.create(({ id }, headers) => {
            this.record(`POST /promote ${id} holder ${headers["x-duty-holder"]} token ${headers["x-fence-token"]}`);
            return this.group.promote(id);
        });
        this.group = new Group(this.store, "ledger", text => this.record(text));
        await this.group.start();
        this.store.put("op/config", JSON.stringify(configuration));
        this.deployment = new Deployment();
        this.vms = [];
        for (const options of vmOptions) {
            const vm = await this.deployment.startVm(this.store.address, options);
            vm.onEnd = ({ code, signal }) => this.record(`process of VM ${vm.number} ended, code ${code}, signal ${signal}`);
            this.vms.push(vm);
        }
        for (const vm of this.vms) {
            if (!(await this.deployment.waitUntilReady(vm))) throw new Error(`VM ${vm.number} is not ready`);
        }
        await sleep(settleMs);
    }

    async connect(vm, database, options) {
        const client = await Client.create(vm.front, database, options);
        this.record(`client connects to VM ${vm.number}, database ${database}: ${client.login.head.trim()}`);
        return client;
    }

    record(text) {
        this.lines.push(`${((Date.now() - this.startedAt) / 1_000).toFixed(3)} ${text}`);
    }
}
