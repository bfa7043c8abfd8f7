import { LineSocket } from "@vanillarouter/base/lineSocket";
import { Operation } from "@vanillarouter/base/operation";
import { Task } from "@vanillarouter/base/task";
import { CommandKind } from "@vanillarouter/session/model/commandKind";
import { ErrorKind } from "@vanillarouter/session/model/errorKind";
import { TransactionState } from "@vanillarouter/session/model/transactionState";
import { UpstreamCommand } from "@vanillarouter/session/model/upstreamCommand";
import { FakeUpstreamServer } from "@vanillarouter/session/testing/fakeUpstreamServer";
import { AddressInfo, createServer, Server } from "node:net";

const stateCodes: Readonly<Record<TransactionState, string>> = { [TransactionState.Idle]: "I", [TransactionState.Open]: "T", [TransactionState.Failed]: "E" };

const codesByError: ReadonlyMap<ErrorKind, string> = new Map([
    [ErrorKind.Busy, "BUSY"],
    [ErrorKind.NoStatement, "NOSTMT"],
]);

function formatError(error: ErrorKind): string {
    return codesByError.get(error) ?? error.replace("-", "").toUpperCase();
}

/** Splits off the first word. The last field of a line may contain spaces. */
function splitOnce(text: string): readonly [string, string] {
    const space = text.indexOf(" ");
    return space < 0 ? [text, ""] : [text.slice(0, space), text.slice(space + 1)];
}

function parsePrepare(name: string, definition: string): UpstreamCommand {
    const [mode, shape] = splitOnce(definition);
    return { kind: CommandKind.Prepare, name, readOnly: mode === "READ", text: shape };
}

function parseCommand(id: string, text: string): UpstreamCommand {
    const [verb, fields] = splitOnce(text);
    const [first, rest] = splitOnce(fields);
    switch (verb) {
        case "AFTER": {
            const [term, position] = first.split(".").map(Number) as [number, number];
            return { ...parseCommand(id, rest), floor: { term, position } };
        }
        case "BEGIN":
            return { kind: CommandKind.Begin, readOnly: first === "READ" };
        case "ROLLBACK":
            return { kind: CommandKind.Rollback };
        case "RESET":
            return { kind: CommandKind.Reset };
        case "SET":
            return { kind: CommandKind.SetValue, name: first, text: rest };
        case "PREPARE":
            return parsePrepare(first, rest);
        case "STATUS":
            return { kind: CommandKind.Status };
        case "PAUSE":
            return { kind: CommandKind.Fence, term: Number(first) };
        case "DEMOTE":
            return { kind: CommandKind.Demote, term: Number(first) };
        default:
            return { kind: CommandKind.Forward, id, text };
    }
}

/** Serves a fake upstream over the line protocol. */
export class LineUpstream {
    /** Whether the response to a command that has run is lost. */
    public losesResponse: (command: UpstreamCommand) => boolean = () => false;

    /** Called with each line that arrives. */
    public onLine: (line: string) => void = () => undefined;

    private constructor(
        private readonly server: Server,
        public readonly upstream: FakeUpstreamServer,
        private readonly service: string,
        private readonly mayLogIn: (user: string | undefined) => boolean,
    ) {}

    /** Listens on a free port of the loopback address. `mayLogIn` says whether connections may belong to a user. */
    public static async create(upstream: FakeUpstreamServer, service: string, mayLogIn: (user: string | undefined) => boolean): Promise<LineUpstream> {
        const server = createServer();
        const created = new LineUpstream(server, upstream, service, mayLogIn);
        server.on("connection", socket => Task.start(created.serveConnection(LineSocket.create(socket))));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return created;
    }

    public get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    public close(): void {
        this.server.close();
    }

    private *serveConnection(socket: LineSocket): Operation<void> {
        const session = this.upstream.createSession();
        for (;;) {
            const line = yield* socket.receive();
            if (line === undefined) return;
            this.onLine(line);
            if (this.upstream.isUnresponsive) continue;
            const [verb, fields] = splitOnce(line);
            if (verb === "CONNECT") this.logIn(socket, session, fields.split(" "));
            else this.runCommand(socket, session, parseCommand(...splitOnce(fields)));
        }
    }

    private runCommand(socket: LineSocket, session: ReturnType<FakeUpstreamServer["createSession"]>, command: UpstreamCommand): void {
        const response = this.upstream.run(session, command);
        if (this.upstream.losesResponses || this.losesResponse(command)) return;
        const isControl = command.kind === CommandKind.Status || command.kind === CommandKind.Fence || command.kind === CommandKind.Demote;
        const resultLine = response.error === undefined ? `DONE ${response.receipt}` : `ERR ${formatError(response.error)} ${this.upstream.id}`;
        const rows = isControl ? [this.formatStatus()] : response.rows;
        socket.send(`${rows.map(row => `ROW ${row}\r\n`).join("")}${resultLine}\r\nREADY ${stateCodes[response.state]} ${this.formatPosition()}\r\n`);
    }

    /** Accepts a login, after which the connection belongs to the user, or refuses it. */
    private logIn(socket: LineSocket, session: ReturnType<FakeUpstreamServer["createSession"]>, [service, user, id]: readonly string[]): void {
        session.user = user;
        const isService = service === this.service && (id === undefined || id === this.upstream.id);
        if (isService && this.mayLogIn(user)) return socket.send(`READY I ${this.formatPosition()}\r\n`);
        socket.send(isService ? "ERR NOAUTH unknown user\r\n" : "ERR MISROUTED wrong name\r\n");
        socket.end();
    }

    private formatPosition(): string {
        return `${this.upstream.position.term}.${this.upstream.position.position}`;
    }

    private formatStatus(): string {
        const status = this.upstream.status;
        return `${status.isPrimary ? "primary" : "replica"} ${status.term} ${this.formatPosition()} ${status.fenceTerm} 0 0 1`;
    }
}
