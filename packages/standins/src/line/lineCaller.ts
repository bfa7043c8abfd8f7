import { connect, Socket } from "node:net";

/** Client of the line protocol, for tests. */
export class LineCaller {
    private received = "";
    private hasEnded = false;
    private notify: () => void = () => undefined;
    private login = "";

    private constructor(private readonly socket: Socket) {
        socket.on("data", data => {
            this.received += data.toString("latin1");
            this.notify();
        });
        for (const event of ["end", "close", "error"]) {
            socket.on(event, () => {
                this.hasEnded = true;
                this.notify();
            });
        }
    }

    /** Connects and logs in with a key. */
    public static async create(address: string, database: string, key = "tester"): Promise<LineCaller> {
        const [host, port] = address.split(":") as [string, string];
        const caller = new LineCaller(connect({ host, port: Number(port) }));
        caller.login = await caller.exchange(`CONNECT ${database} ${key}`);
        return caller;
    }

    /** Response to the login. */
    public get loginResponse(): string {
        return this.login;
    }

    public get isClosed(): boolean {
        return this.hasEnded;
    }

    /** Sends a statement and returns its whole response, up to the READY line or the end of the connection. */
    public query(id: string, statement: string): Promise<string> {
        return this.exchange(`QUERY ${id} ${statement}`);
    }

    /** Sends one line and returns the response. */
    public async exchange(line: string): Promise<string> {
        this.received = "";
        this.socket.write(`${line}\r\n`, "latin1");
        while (!/^READY .*\r\n/m.test(this.received) && !this.hasEnded) await new Promise<void>(resolve => this.notify = resolve);
        return this.received;
    }

    public close(): void {
        this.socket.destroy();
    }
}
