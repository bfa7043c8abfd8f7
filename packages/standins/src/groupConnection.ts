import { createHash } from "node:crypto";
import { Socket } from "node:net";
import { ErrorNumber } from "./errorNumber";
import { GroupError } from "./groupError";
import { GroupSession } from "./groupSession";
import { GroupUpstream } from "./groupUpstream";
import { OkPacket } from "./okPacket";
import { StatementResponse } from "./statementResponse";

/** The part of the server side of a `mysql2` connection that is used here. The library has no types for it. */
interface ServerConnection {
    readonly stream: Socket;
    on(event: string, listener: (...args: never[]) => void): void;
    serverHandshake(args: Readonly<Record<string, unknown>>): void;
    writeColumns(columns: readonly unknown[]): void;
    writeTextRow(row: readonly unknown[]): void;
    writeEof(): void;
    writeOk(): void;
    writePacket(packet: OkPacket): void;
    writeError(args: { readonly code: number; readonly message: string; }): void;
    _resetSequenceId(): void;
}

interface Login {
    readonly user: string;
    readonly authPluginData1: Buffer;
    readonly authPluginData2: Buffer;
    readonly authToken: Buffer;
}

/** utf8mb4_general_ci */
const characterSet = 45;
const varStringType = 253;
const longLongType = 8;
/** LONG_PASSWORD, LONG_FLAG, CONNECT_WITH_DB, PROTOCOL_41, TRANSACTIONS, SECURE_CONNECTION, PLUGIN_AUTH, CONNECT_ATTRS. */
const capabilityFlags = 0x1 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x80000 | 0x100000;
const statementCloseCommand = 0x19;

function computeSha1(...parts: readonly Buffer[]): Buffer {
    const hash = createHash("sha1");
    for (const part of parts) hash.update(part);
    return hash.digest();
}

/** Checks the client's response to the `mysql_native_password` challenge. */
function isPasswordValid(password: string, login: Login): boolean {
    if (password === "") return login.authToken.length === 0;
    const stage1 = computeSha1(Buffer.from(password));
    const mask = computeSha1(Buffer.concat([login.authPluginData1, login.authPluginData2.subarray(0, 12)]), computeSha1(stage1));
    return login.authToken.equals(Buffer.from(stage1.map((byte, index) => byte ^ mask[index]!)));
}

/** One client connection of a stand-in. Delays or drops requests and responses according to the faults that are set on the upstream. */
export class GroupConnection {
    private isSilent = false;
    private readonly deferredActions: (() => void)[] = [];
    private readonly session: GroupSession;

    private constructor(private readonly upstream: GroupUpstream, private readonly connection: ServerConnection, private readonly id: number) {
        this.session = GroupSession.create(upstream, id);
        connection.on("error", () => connection.stream.destroy());
        connection.on("query", (sql: string) => this.runOrDefer(() => void this.runQuery(sql)));
        connection.on("ping", () => this.runOrDefer(() => this.sendResponse(() => connection.writeOk())));
        connection.on("init_db", () => this.runOrDefer(() => this.sendResponse(() => connection.writeOk())));
        connection.on("stmt_prepare", () => this.rejectUnsupported());
        connection.on("packet", (_packet: unknown, known: boolean, code: number) => {
            if (!known && code !== statementCloseCommand) this.rejectUnsupported();
        });
    }

    public static create(upstream: GroupUpstream, connection: unknown, id: number): GroupConnection {
        return new GroupConnection(upstream, connection as ServerConnection, id);
    }

    /** Sends the handshake packet, or an error if the connection limit is reached, after the configured time to open a connection. */
    public sendGreeting(isLimitReached: boolean): void {
        setTimeout(() => this.runOrDefer(() => isLimitReached ? this.refuseConnection() : this.startHandshake()), this.upstream.options.connectMs);
    }

    /** Keeps the connection open, but discards all further and deferred requests and responses. */
    public silence(): void {
        this.isSilent = true;
        this.deferredActions.length = 0;
    }

    /** Runs the actions that were deferred while clients were isolated. */
    public runDeferredActions(): void {
        for (const action of this.deferredActions.splice(0)) action();
    }

    public close(): void {
        this.connection.stream.destroy();
    }

    private refuseConnection(): void {
        this.connection.writeError({ code: ErrorNumber.TooManyConnections, message: "Too many connections" });
        this.connection.stream.end();
    }

    private startHandshake(): void {
        this.connection.serverHandshake({
            protocolVersion: 10,
            serverVersion: "8.0.0-vr-group",
            connectionId: this.id,
            // SERVER_STATUS_AUTOCOMMIT
            statusFlags: 2,
            characterSet,
            capabilityFlags,
            authCallback: (login: Login, done: (err: undefined, rejection?: { message: string; code: number; }) => void) => this.checkLogin(login, done),
        });
    }

    private checkLogin(login: Login, done: (err: undefined, rejection?: { message: string; code: number; }) => void): void {
        const { user, password } = this.upstream.options;
        const accepted = login.user === user && isPasswordValid(password, login);
        this.runOrDefer(() => {
            done(undefined, accepted ? undefined : { message: `Access denied for user '${login.user}'`, code: ErrorNumber.AccessDenied });
            this.connection._resetSequenceId();
        });
    }

    private rejectUnsupported(): void {
        this.runOrDefer(() =>
            this.sendResponse(() => this.connection.writeError({ code: ErrorNumber.UnsupportedPrepared, message: "command is not supported" }))
        );
    }

    private async runQuery(sql: string): Promise<void> {
        try {
            const response = await this.session.execute(sql);
            const isCommittedWrite = "info" in response && response.info !== "";
            if (isCommittedWrite && this.upstream.consumeLostResponse()) this.close();
            else this.runOrDefer(() => this.sendResponse(() => this.writeResponse(response)));
        }
        catch (err) {
            this.upstream.record.countRejection();
            const code = err instanceof GroupError ? err.errno : ErrorNumber.Signal;
            this.runOrDefer(() => this.sendResponse(() => this.connection.writeError({ code, message: (err as Error).message })));
        }
    }

    /** Sends a response in a single write and resets the sequence number, since the next command starts at 0. */
    private sendResponse(write: () => void): void {
        const stream = this.connection.stream;
        if (stream.destroyed) return;
        stream.cork();
        write();
        stream.uncork();
        this.connection._resetSequenceId();
    }

    private writeResponse(response: StatementResponse): void {
        if (!("columns" in response)) {
            this.connection.writePacket(OkPacket.create(response.affectedRows, response.insertId, response.info));
            return;
        }
        this.connection.writeColumns(response.columns.map((name, index) => this.describeColumn(name, typeof response.rows[0]?.[index] === "number")));
        for (const row of response.rows) this.connection.writeTextRow(row.map(value => value === undefined ? null : String(value)));
        this.connection.writeEof();
    }

    private describeColumn(name: string, isNumber: boolean): Readonly<Record<string, unknown>> {
        const common = { catalog: "def", schema: "", table: "", orgTable: "", name, orgName: name, flags: 0, decimals: 0 };
        return isNumber
            ? { ...common, characterSet: 63, columnLength: 20, columnType: longLongType }
            : { ...common, characterSet, columnLength: 1020, columnType: varStringType };
    }

    /** Runs the action, defers it while clients are isolated, or drops it if the connection has been silenced. */
    private runOrDefer(action: () => void): void {
        if (this.isSilent) return;
        if (this.upstream.faults.isolatedFromClients) this.deferredActions.push(action);
        else action();
    }
}
