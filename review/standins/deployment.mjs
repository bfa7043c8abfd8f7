import { spawn } from "node:child_process";
import { appendFileSync, closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { BackendGroup } from "./backendGroup.mjs";
import { HeldProxy } from "./heldProxy.mjs";
import { Platform } from "./platform.mjs";

/** A small deployment: the program of the deploy file as one process per machine, and stand-ins of everything around it. */

const root = fileURLToPath(new URL("../..", import.meta.url));
const zones = ["zone-a", "zone-b", "zone-c"];
const metricsPort = 9_464;
const startTimeoutMs = 20_000;

/** Classes of a small site: racja-central. */
const routes = [
    { name: "r1", host: "orders", type: "primary", slo_ms: 200, timeout_ms: 1_000, priority: 0 },
    { name: "r2", host: "views", type: "bounded_staleness", slo_ms: 1_500, timeout_ms: 3_000, priority: 2, max_staleness_ms: 1_500 },
    { name: "r3", host: "stock", type: "read_your_writes", slo_ms: 400, timeout_ms: 1_000, priority: 1, max_staleness_ms: 2_500 },
];

export function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Returns the words of the deploy file's run line. */
function readRunLine() {
    const text = readFileSync(join(root, "deploy", "system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Fills in the template of the deploy file. It only has values, as plain text or as JSON. */
function fillTemplate(fields) {
    const template = readFileSync(join(root, "deploy", "settings.json.template"), "utf8");
    return template.replace(/\{\{([a-z0-9_.]+)(\|json)?\}\}/g, (_, path, json) => {
        const value = path.split(".").reduce((parent, name) => parent[name], fields);
        return json === undefined ? String(value) : JSON.stringify(value);
    });
}

async function canListen(ip, port) {
    const server = createServer();
    const isFree = await new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => resolve(true));
    });
    if (isFree) await new Promise(resolve => server.close(resolve));
    return isFree;
}

/** Finds three bytes of a loopback network in which the machines' fixed metrics port is free. */
async function findNetwork(count) {
    for (let attempt = 0; attempt < 50; attempt++) {
        const network = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
        const free = await Promise.all(Array.from({ length: count }, (_, index) => canListen(`${network}.${index + 1}`, metricsPort)));
        if (free.every(Boolean)) return network;
    }
    throw new Error("no free loopback network");
}

async function findFreePorts(ip, count) {
    // All are open at once, so that no port is found twice.
    const servers = Array.from({ length: count }, () => createServer());
    for (const server of servers) await new Promise(resolve => server.listen(0, ip, resolve));
    const ports = servers.map(server => server.address().port);
    for (const server of servers) await new Promise(resolve => server.close(resolve));
    return ports;
}

/** One machine of the system. */
class Machine {
    constructor(id, ip, folder) {
        this.id = id;
        this.ip = ip;
        this.settingsFile = join(folder, `${id}.json`);
        this.logFile = join(folder, `${id}.log`);
    }

    start() {
        const [program, ...args] = readRunLine();
        const log = openSync(this.logFile, "a");
        this.child = spawn(program, args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, VANILLAROUTER_NODE_FILE: this.settingsFile },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        this.exited = new Promise(resolve =>
            this.child.once("exit", (code, signal) => {
                this.exit = { code, signal, at: performance.now() };
                resolve();
            })
        );
    }

    signal(name) {
        if (this.exit === undefined) this.child.kill(name);
    }

    async isReady() {
        const answer = await fetch(`http://${this.readyAddress}/-/ready`).catch(() => undefined);
        await answer?.arrayBuffer();
        return answer?.status === 200;
    }
}

export class Deployment {
    /**
     * `caseUrl` is the module of the case; its folder gets `record.txt`. `machines` is their number, `findDutyAddress` returns the address of
     * the promotion call for a machine, `group` holds the options of the service's backends, `backendZones` their zones. With `hasPaths`,
     * each machine has a path of its own to each backend and to the platform, which `cutZone` cuts.
     */
    static async create(caseUrl, options) {
        const { machines = 3, graceS = 6, group = {}, findDutyAddress = async address => address, backendZones = zones, hasPaths = false } = options;
        const deployment = new Deployment(fileURLToPath(new URL("record.txt", caseUrl)));
        deployment.backendZones = backendZones;
        deployment.hasPaths = hasPaths;
        process.once("exit", () => deployment.machines.forEach(machine => machine.signal("SIGKILL")));
        for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => process.exit(2));
        process.once("uncaughtException", err => void deployment.finish([], `a stand-in failed: ${err.stack}`));
        try {
            await deployment.build(machines, graceS, group, findDutyAddress);
        }
        catch (err) {
            deployment.record(`the deployment did not start: ${err.stack}`);
            process.stdout.write(`the deployment did not start: ${err.message}\n`);
            await deployment.close();
            process.exit(2);
        }
        return deployment;
    }

    constructor(recordFile) {
        this.recordFile = recordFile;
        writeFileSync(recordFile, "");
        this.startedAt = performance.now();
        this.now = () => performance.now() - this.startedAt;
        this.folder = mkdtempSync(join(tmpdir(), "vanillarouter-review-"));
        this.machines = [];
        this.paths = [];
        this.platform = new Platform();
    }

    record(text) {
        appendFileSync(this.recordFile, `${this.now().toFixed(1).padStart(9)} ms  ${text}\n`);
    }

    async build(machineCount, graceS, groupOptions, findDutyAddress) {
        const network = await findNetwork(machineCount);
        this.network = network;
        const platformIp = `${network}.100`;
        await this.platform.start(platformIp);
        this.group = new BackendGroup("ledger", { slots: 5, maxConnections: 33, promoteMs: 300, getWorkMs: () => 11, ...groupOptions }, this.now);
        for (const [index, zone] of this.backendZones.entries()) await this.group.add(`i-${index + 1}`, `${network}.${101 + index}`, zone);
        this.platform.addGroup(this.group);
        const configuration = { routes: routes.map(route => ({ ...route, service: "ledger" })), services: [{ name: "ledger", max_conns: 33 }] };
        this.platform.put("op/config", JSON.stringify({ version: 1, ...configuration, limits: { tx_idle_ms: 3_000 } }));
        for (let index = 1; index <= machineCount; index++) {
            const machine = new Machine(`edge-${index}`, `${network}.${index}`, this.folder);
            this.machines.push(machine);
            const { ip, id } = machine;
            const [front, ready, internal] = await findFreePorts(ip, 3);
            machine.address = `${ip}:${front}`;
            machine.readyAddress = `${ip}:${ready}`;
            machine.zone = zones[(index - 1) % zones.length];
            const platformAddresses = this.hasPaths
                ? await this.openPaths(machine, platformIp)
                : { store: this.platform.storeAddress, duty: await findDutyAddress(this.platform.dutyAddress, machine, platformIp) };
            const fields = {
                node: id,
                zone: machine.zone,
                ip,
                listen: { front: machine.address, ready: machine.readyAddress },
                internal_ports: [internal],
                limits: { cores: 1, cpu_share: 0.675 },
                platform: { addr: platformAddresses.store },
                cloud: { addr: platformAddresses.duty },
                bounds: { grace_s: graceS },
            };
            writeFileSync(machine.settingsFile, fillTemplate(fields));
            machine.start();
        }
        await this.waitUntilReady();
    }

    /** Opens a path of its own from a machine to each backend and to the platform. Returns the platform's addresses for it. */
    async openPaths(machine, platformIp) {
        const openPath = async (ip, target, backend) => {
            const proxy = new HeldProxy(ip, target);
            await proxy.listen();
            this.paths.push({ proxy, machine, backend });
            return proxy.address;
        };
        const addresses = new Map();
        for (const backend of this.group.backends) addresses.set(backend.address, await openPath(backend.ip, backend.address, backend));
        const store = await this.platform.openStoreFor(platformIp, address => addresses.get(address));
        return { store: await openPath(platformIp, store), duty: await openPath(platformIp, this.platform.dutyAddress) };
    }

    /** Partitions a zone from the others and from the platform. Clients still reach its machines. */
    cutZone(zone, durationMs) {
        const isCut = (first, second) => (first === zone) !== (second === zone);
        this.group.isLinked = (first, second) => !isCut(first.zone, second.zone);
        this.platform.isCutOff = backend => backend.zone === zone;
        for (const { proxy, machine, backend } of this.paths) {
            if (isCut(machine.zone, backend?.zone)) proxy.cut(durationMs);
        }
        this.record(`${zone} is cut off`);
        setTimeout(() => {
            this.group.isLinked = () => true;
            this.platform.isCutOff = () => false;
            this.group.heal();
            this.record(`${zone} is no longer cut off`);
        }, durationMs);
    }

    async waitUntilReady() {
        const deadline = this.now() + startTimeoutMs;
        for (const machine of this.machines) {
            while (!(await machine.isReady())) {
                if (this.now() > deadline || machine.exit !== undefined) {
                    const log = readFileSync(machine.logFile, "utf8").split("\n").slice(-5).join("\n");
                    throw new Error(`${machine.id} does not become ready (exit ${machine.exit?.code}): ${log}`);
                }
                await sleep(50);
            }
            this.record(`${machine.id} is ready at ${machine.address}`);
        }
    }

    /** Ends everything that was started, records the outcome and exits: with 1 if a rule was broken, 0 if not, 2 if the case could not run. */
    async finish(violations, unrunnable) {
        for (const text of violations) this.record(`BROKEN ${text}`);
        if (unrunnable !== undefined) this.record(`the case could not run: ${unrunnable}`);
        let code = violations.length > 0 ? 1 : 0;
        if (code === 0 && unrunnable !== undefined) code = 2;
        this.record(`exit code ${code}`);
        await this.close();
        process.stdout.write(`${violations[0] ?? unrunnable ?? "the rule held"} (${violations.length} broken)\n`);
        process.exit(code);
    }

    async close() {
        for (const machine of this.machines) {
            machine.signal("SIGCONT");
            machine.signal("SIGKILL");
            await machine.exited;
        }
        for (const { proxy } of this.paths) proxy.close();
        this.group?.close();
        this.platform.close();
        if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
        else process.stdout.write(`${this.folder}\n`);
    }
}
