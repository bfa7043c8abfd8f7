/** Starts the program of the deploy file as separate processes, with its template of the settings filled in. */
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const deployFile = readFileSync("deploy/system.toml", "utf8");

function readDeployValue(name) {
    return new RegExp(`^${name} = "(.*)"$`, "m").exec(deployFile)[1];
}

/** Fills in the placeholders of the template: `{{a.b}}` and `{{a.b|json}}`. */
function fillTemplate(text, fields) {
    return text.replace(/\{\{([a-z_.0-9]+)(\|json)?\}\}/g, (_match, path, isJson) => {
        const value = path.split(".").reduce((table, name) => table?.[name], fields);
        if (isJson !== undefined) return JSON.stringify(value);
        return Array.isArray(value) ? value.join(",") : String(value ?? "");
    });
}

/** Loopback addresses of this run. The port of the metrics is the same on all machines, so each VM needs its own address. */
const network = `127.${1 + Math.floor(process.pid / 250) % 250}.${1 + process.pid % 250}`;

async function findFreePort(ip) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, ip, resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

export class Deployment {
    vms = [];
    folder = mkdtempSync(join(tmpdir(), "review-"));

    constructor() {
        process.on("exit", () => {
            for (const vm of this.vms) vm.process.kill("SIGKILL");
        });
    }

    /** Starts the program on its own loopback address. `restarts` says whether the platform starts it again when it ends. */
    async startVm(storeAddress, { restarts = false } = {}) {
        const number = this.vms.length + 1;
        const ip = `${network}.${number + 1}`;
        const ports = [await findFreePort(ip), await findFreePort(ip), await findFreePort(ip)];
        const fields = {
            node: `edge-zone-${number}-1`,
            zone: `zone-${number}`,
            ip,
            limits: { cores: 1, cpu_share: 0.675, memory_mb: 350, max_fds: 4300 },
            listen: { front: `${ip}:${ports[0]}`, ready: `${ip}:${ports[1]}` },
            internal_ports: [ports[2]],
            platform: { addr: storeAddress },
            cloud: { addr: storeAddress },
            bounds: { grace_s: 6 },
            contracts: ["base", "drain", "config", "cost", "recover", "sql", "platform"],
        };
        const settings = join(this.folder, `vm-${number}.json`);
        writeFileSync(settings, fillTemplate(readFileSync(readDeployValue("template"), "utf8"), fields));
        const vm = { number, front: fields.listen.front, ready: fields.listen.ready, ends: [], restarts, log: join(this.folder, `vm-${number}.log`) };
        const start = () => {
            const [command, ...args] = readDeployValue("run").split(" ");
            const output = openSync(vm.log, "a");
            vm.process = spawn(command, args, {
                stdio: ["ignore", output, output],
                env: { PATH: process.env.PATH, HOME: process.env.HOME, VANILLAROUTER_NODE_FILE: settings },
            });
            closeSync(output);
            vm.process.on("exit", (code, signal) => {
                vm.ends.push({ at: Date.now(), code, signal });
                vm.onEnd?.({ code, signal });
                if (vm.restarts) setTimeout(() => vm.restarts && start(), 300);
            });
        };
        start();
        this.vms.push(vm);
        return vm;
    }

    /** Waits until the VM reports itself ready, as the load balancer asks. */
    async waitUntilReady({ ready }, timeoutMs = 15_000) {
        const giveUpAt = Date.now() + timeoutMs;
        while (Date.now() < giveUpAt) {
            const status = await fetch(`http://${ready}/-/ready`).then(res => res.status, () => 0);
            if (status === 200) return true;
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        return false;
    }

    async close() {
        for (const vm of this.vms) {
            vm.restarts = false;
            if (vm.process.exitCode !== null || vm.process.signalCode !== null) continue;
            const ended = new Promise(resolve => vm.process.once("exit", resolve));
            vm.process.kill("SIGKILL");
            await ended;
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** A client's session. `readBytesPerSecond` limits how fast it reads. */
export class Client {
    received = [];
    isClosed = false;
    wake = () => undefined;

    static async create(address, database, { readBytesPerSecond = Infinity } = {}) {
        const [host, port] = address.split(":");
        const client = new Client();
        client.socket = connect({ host, port: Number(port) });
        client.socket.on("data", data => client.take(data, readBytesPerSecond));
        for (const event of ["end", "close", "error"]) {
            client.socket.on(event, () => {
                client.isClosed = true;
                client.wake();
            });
        }
        client.login = await client.exchange(`CONNECT ${database} tester`);
        return client;
    }

    take(data, readBytesPerSecond) {
        this.received.push(data);
        this.wake();
        if (readBytesPerSecond === Infinity) return;
        const aheadMs = this.bytes / readBytesPerSecond * 1_000 - (Date.now() - this.sentAt);
        if (aheadMs <= 0) return;
        this.socket.pause();
        setTimeout(() => this.socket.resume(), aheadMs);
    }

    get bytes() {
        return this.received.reduce((sum, { length }) => sum + length, 0);
    }

    get isComplete() {
        const tail = Buffer.concat(this.received.slice(-3)).toString("latin1");
        return /(^|\r\n)READY [ITE] \S+\r\n$/.test(tail);
    }

    /** Sends a line and returns the answer, which is incomplete if the connection ended before. */
    async exchange(line) {
        this.received = [];
        this.sentAt = Date.now();
        if (!this.isClosed) this.socket.write(`${line}\r\n`, "latin1");
        while (!this.isComplete && !this.isClosed) await new Promise(resolve => this.wake = resolve);
        return {
            isComplete: this.isComplete,
            bytes: this.bytes,
            head: Buffer.concat(this.received.slice(0, 1)).toString("latin1", 0, 200),
            tail: Buffer.concat(this.received.slice(-1)).toString("latin1").slice(-120),
        };
    }

    close() {
        this.socket.destroy();
    }
}
