import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { LineCaller } from "@vanillarouter/standins/line/lineCaller";
import { setTimeout as wait } from "node:timers/promises";
import { ConsistencyChecker } from "./consistencyChecker";
import { SoakKeys } from "./soakKeys";

/** Errors that guarantee that no part of the write or transaction is committed. */
const didNotRunPattern = /^ERR (BUSY|NOAUTH|ABORTED|LAGGING|READONLY|MISROUTED|TOOMANY) /;
const databases = ["orders", "stock"];
const maxPauseMs = 40;
const loginTimeoutMs = 2_000;
const responseTimeoutMs = 8_000;

/** A caller that writes an item of its own and reads it back, through VMs chosen at random. */
export class SoakCaller {
    private readonly item: string;
    /** Data of the last acknowledged write, and the id under which it was committed. */
    private lastAcknowledgedWrite: { readonly data: string; readonly id: string; } | undefined;
    /** Data of writes with an unknown outcome. Each may take effect after writes that were sent later. */
    private readonly unknownWrites = new Set<string>();
    private statementCount = 0;
    private connection: LineCaller | undefined;
    /** Whether the class of the connection guarantees that reads return every acknowledged commit, not only those of the session. */
    private readsAllCommits = false;
    /** Whether a write of the current connection was acknowledged. */
    private hasWritten = false;

    private constructor(
        private readonly name: string,
        private readonly addresses: readonly string[],
        private readonly checker: ConsistencyChecker,
        private readonly random: SeededRandom,
        private readonly keys: SoakKeys,
        private readonly key: string,
    ) {
        this.item = `item-${name}`;
    }

    /** `key` is the one of `keys` that the caller uses. */
    public static create(
        name: string,
        addresses: readonly string[],
        checker: ConsistencyChecker,
        random: SeededRandom,
        keys: SoakKeys,
        key: string,
    ): SoakCaller {
        return new SoakCaller(name, addresses, checker, random, keys, key);
    }

    /** Runs random operations until `isDone` returns true. */
    public async run(isDone: () => boolean): Promise<void> {
        while (!isDone()) {
            await wait(this.random.next() * maxPauseMs);
            const connection = await this.obtainConnection();
            if (connection === undefined) continue;
            const draw = this.random.next();
            if (draw < 0.4) await this.read(connection);
            else if (draw < 0.7) await this.write(connection);
            else await this.runTransaction(connection);
        }
        this.connection?.close();
    }

    /** Returns the open connection or creates one. Connections are kept until they close, so that stops and faults affect open ones. */
    private async obtainConnection(): Promise<LineCaller | undefined> {
        if (this.connection?.isClosed === false) return this.connection;
        const address = this.addresses[Math.floor(this.random.next() * this.addresses.length)]!;
        const database = databases[Math.floor(this.random.next() * databases.length)]!;
        const sentAt = performance.now();
        const created = await Promise.race([LineCaller.create(address, database, this.key), wait(loginTimeoutMs)]);
        if (created instanceof LineCaller) this.checkKey(created.loginResponse, sentAt, undefined);
        this.connection = created instanceof LineCaller && !created.isClosed ? created : undefined;
        this.readsAllCommits = database === "orders";
        this.hasWritten = false;
        return this.connection;
    }

    private async read(connection: LineCaller): Promise<void> {
        const expected = this.lastAcknowledgedWrite;
        const response = await this.send(connection, this.nextId(), `READ ${this.item}`);
        const row = /^ROW (.*)\r$/m.exec(response)?.[1];
        if (!response.includes("DONE ") || expected === undefined || (!this.readsAllCommits && !this.hasWritten)) return;
        if (row === expected.data || this.unknownWrites.has(row ?? "")) return;
        this.checker.recordStaleRead(`${this.name} read ${row}, acknowledged was ${expected.data}`, expected.id);
    }

    private async write(connection: LineCaller): Promise<void> {
        const id = this.nextId();
        this.recordOutcome(id, id, await this.send(connection, id, `WRITE ${this.item} ${id}`));
    }

    private async runTransaction(connection: LineCaller): Promise<void> {
        if (!(await this.send(connection, this.nextId(), "BEGIN")).includes("DONE ")) return;
        const writeId = this.nextId();
        const commitId = this.nextId();
        const writeResponse = await this.send(connection, writeId, `WRITE ${this.item} ${writeId}`);
        if (!writeResponse.includes("DONE ")) return this.recordIfRefused(commitId, writeResponse);
        await wait(this.random.next() * maxPauseMs);
        this.recordOutcome(commitId, writeId, await this.send(connection, commitId, "COMMIT"));
    }

    /** Records the outcome of the write of `data` that is committed under `id`. */
    private recordOutcome(id: string, data: string, response: string): void {
        if (response.includes("DONE ")) {
            this.checker.recordCommitted(id);
            this.lastAcknowledgedWrite = { data, id };
            this.hasWritten = true;
            return;
        }
        if (didNotRunPattern.test(response)) return this.checker.recordRefused(id);
        this.unknownWrites.add(data);
    }

    private recordIfRefused(id: string, response: string): void {
        if (didNotRunPattern.test(response)) this.checker.recordRefused(id);
    }

    /**
     * Sends a statement and returns the response; an empty string if it timed out or ended between DONE and READY. The connection
     * is closed unless the response is successful and complete.
     */
    private async send(connection: LineCaller, id: string, statement: string): Promise<string> {
        this.checker.recordSent(id);
        const sentAt = performance.now();
        const response = await Promise.race([connection.query(id, statement), wait(responseTimeoutMs, "")]);
        const receipt = /^DONE (.*)\r$/m.exec(response)?.[1];
        this.checkKey(response, sentAt, receipt);
        if (receipt !== undefined && response.includes("READY ")) this.checker.recordResponse(id, receipt);
        else connection.close();
        return receipt !== undefined && !response.includes("READY ") ? "" : response;
    }

    /** Checks that the key was good enough for a statement that ran, or bad enough for a refusal. */
    private checkKey(response: string, sentAt: number, receipt: string | undefined): void {
        const hasRun = receipt !== undefined && receipt !== "-";
        if (hasRun && !this.keys.mayServe(this.key, sentAt)) this.checker.recordViolation(`${this.name} was served ${receipt} with ${this.key}`);
        if (response.startsWith("ERR NOAUTH") && !this.keys.mayRefuse(this.key, sentAt)) {
            this.checker.recordViolation(`${this.name} was refused with ${this.key}`);
        }
    }

    private nextId(): string {
        return `${this.name}x${(++this.statementCount).toString(16)}`;
    }
}
