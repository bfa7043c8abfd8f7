import { createTestCertificates } from "@vanillarouter/vm/testing/createTestCertificates";
import { Connection, createConnection } from "mysql2/promise";
import assert from "node:assert/strict";
import { ChildProcess, spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { TestContext } from "node:test";
import { setTimeout as wait } from "node:timers/promises";

const host = "127.0.0.1";
const credential = "test-administration-credential";
/** Limits of the V8 heap, of resident memory and of descriptors. */
const heapMb = 96;
const memoryMb = 200;
const maxDescriptors = 300;
const maxConnections = 160;
const retryTimeoutMs = 20_000;
const sampleIntervalMs = 20;
const packages = join(__dirname, "..", "..", "..");
const passwordHash = createHash("sha1").update(createHash("sha1").update("secret").digest()).digest("hex");
/** With the statement around it, just below the limit of a mebibyte. */
const largestValue = "x".repeat(1_048_576 - 400);

async function start(context: TestContext, file: string, args: readonly string[]): Promise<{ readonly child: ChildProcess; readonly ready: string; }> {
    const child = spawn(process.execPath, [...file.endsWith("daemonMain.js") ? [`--max-old-space-size=${heapMb}`] : [], file, ...args], {
        stdio: ["ignore", "pipe", "ignore"],
    });
    context.after(() => child.kill("SIGKILL"));
    const ready = await new Promise<string>((resolve, reject) => {
        let output = "";
        child.stdout!.on("data", chunk => {
            output = (output + String(chunk)).slice(-10_000);
            const line = /^ready (.*)$/m.exec(output);
            if (line !== null) resolve(line[1]!);
        });
        child.once("exit", code => reject(new Error(`${file} ended with ${code}`)));
    });
    return { child, ready };
}

/** The daemon in a process with a small heap, and its stand-ins: the platform and a group of three upstreams. */
export class LimitedDaemon {
    private maxOpenDescriptors = 0;

    private constructor(private readonly child: ChildProcess, public readonly callerPort: number, public readonly administrationUrl: string) {
        setInterval(() => this.sampleDescriptors(), sampleIntervalMs).unref();
    }

    /** Starts the programs and waits until a statement is answered. They end with the test. */
    public static async start(context: TestContext): Promise<LimitedDaemon> {
        const folder = mkdtempSync(join(tmpdir(), "vr-limits-"));
        context.after(() => rmSync(folder, { recursive: true }));
        for (const [name, text] of Object.entries(createTestCertificates())) writeFileSync(join(folder, `${name}.pem`), text);
        const platform = await start(context, join(packages, "standins", "dist", "platformMain.js"), []);
        const group = join(packages, "standins", "dist", "groupMain.js");
        const upstreams = (await Promise.all(["u1", "u2", "u3"].map(id => start(context, group, [`--id=${id}`, "--primary=u1"]))))
            .map(({ ready }) => JSON.parse(ready) as { id: string; port: number; peerPort: number; controlPort: number; });
        const peers = JSON.stringify(Object.fromEntries(upstreams.map(({ id, peerPort }) => [id, peerPort])));
        for (const { controlPort } of upstreams) await fetch(`http://${host}:${controlPort}/peers`, { method: "PUT", body: peers });
        const pem = (name: string): string => join(folder, `${name}.pem`);
        const settings = {
            vm: { id: "vm1", zone: "a", host, heartbeatPort: 0, linkPort: 0 },
            caller: { host, port: 0, maxConnections },
            administration: { host, port: 0, credential },
            cluster: { key: "test-cluster-key-0123", certificateFile: pem("certificate"), privateKeyFile: pem("privateKey"), authorityFile: pem("authority") },
            platform: { host, port: Number(platform.ready.split(":").at(-1)) },
            upstream: { user: "vr", password: "vr" },
        };
        writeFileSync(join(folder, "settings.json"), JSON.stringify(settings));
        const { child, ready } = await start(context, join(packages, "daemon", "dist", "daemonMain.js"), ["--settings", join(folder, "settings.json")]);
        const read = (key: string): string => new RegExp(`${key}=(\\S+)`).exec(ready)![1]!;
        const daemon = new LimitedDaemon(child, Number(read("caller").split(":")[1]), read("admin"));
        const value = { name: "stock", upstreams: upstreams.map(({ id, port }) => ({ id, zone: "a", host, port, slots: 2, maxConnections: 30 })) };
        const edits = [
            { section: "classes", name: "orders", value: { name: "orders", rank: "urgent", targetMs: 2_000, readOnly: false } },
            { section: "accounts", name: "shop", value: { user: "shop", passwordHash, defaultClass: "orders" } },
            { section: "groups", name: "stock", value },
        ];
        const headers = { authorization: `Bearer ${credential}` };
        const res = await fetch(`${daemon.administrationUrl}/v1/config`, { method: "PUT", headers, body: JSON.stringify({ edits }) });
        assert.equal(res.status, 200);
        await daemon.checkService();
        return daemon;
    }

    /** Opens `count` connections that have logged in and returns their sockets, from which nothing is read. */
    public async connectCrowd(context: TestContext, count: number): Promise<readonly Socket[]> {
        const sockets: Socket[] = [];
        for (let index = 0; index < count; index++) {
            const connection = await this.connect();
            const { stream } = (connection as unknown as { readonly connection: { readonly stream: Socket; }; }).connection;
            connection.on("error", () => undefined);
            stream.removeAllListeners("data").pause().on("error", () => undefined);
            sockets.push(stream);
        }
        context.after(() => sockets.forEach(socket => socket.destroy()));
        return sockets;
    }

    /** Stores a row of nearly a mebibyte, whose `ref` is `large`. */
    public async storeLargeRow(): Promise<void> {
        const connection = await this.connect();
        await connection.query(`INSERT INTO orders (ref, franchisee, item, quantity, note) VALUES ('large', 'f1', 'item1', 2, '${largestValue}')`);
        connection.destroy();
    }

    /** Fails unless the process is alive and has stayed within its memory and descriptors. */
    public checkBounds(): void {
        assert.ok(this.isRunning, `the process ended with code ${this.child.exitCode}, signal ${this.child.signalCode}`);
        const status = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
        const peakMb = Math.round(Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) / 1_024);
        assert.ok(peakMb <= memoryMb, `resident memory reached ${peakMb} MB of ${memoryMb} MB`);
        assert.ok(this.maxOpenDescriptors <= maxDescriptors, `${this.maxOpenDescriptors} descriptors were open of ${maxDescriptors}`);
    }

    /** Fails unless an ordinary statement and a single one of nearly a mebibyte are answered on a new connection. */
    public async checkService(): Promise<void> {
        const deadline = Date.now() + retryTimeoutMs;
        for (;;) {
            try {
                const connection = await this.connect();
                await connection.query("SELECT ref FROM orders WHERE ref = 'none'");
                await connection.query(`SELECT ref FROM orders WHERE ref = '${largestValue}'`);
                connection.destroy();
                return;
            }
            catch (err) {
                if (!this.isRunning || Date.now() > deadline) throw err;
                await wait(sampleIntervalMs);
            }
        }
    }

    private get isRunning(): boolean {
        return this.child.exitCode === null && this.child.signalCode === null;
    }

    private connect(): Promise<Connection> {
        return createConnection({ host, port: this.callerPort, user: "shop", password: "secret", database: "stock" });
    }

    private sampleDescriptors(): void {
        if (!this.isRunning) return;
        try {
            this.maxOpenDescriptors = Math.max(this.maxOpenDescriptors, readdirSync(`/proc/${this.child.pid}/fd`).length);
        }
        catch {
            // The process has just ended, which `checkBounds` reports.
        }
    }
}
