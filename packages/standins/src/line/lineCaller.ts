import { connect, Socket } from "node:net";

/** A caller of the line protocol, for tests. */
export class LineCaller {
    private text = "";
    private ended = false;
    private wake: () => void = () => undefined;

    private constructor(private readonly socket: Socket) {
        socket.on("data", data => {
            this.text += data.toString("latin1");
            this.wake();
        });
        for (const event of ["end", "close", "error"]) {
            socket.on(event, () => {
                this.ended = true;
                this.wake();
            });
        }
    }

    /** Connects and logs in. */
    public static async create(address: string, database: string): Promise<LineCaller> {
        const [host, port] = address.split(":") as [string, string];
        const caller = new LineCaller(connect({ host, port: Number(port) }));
        await caller.exchange(`CONNECT ${database} tester`);
        return caller;
    }

    public get isClosed(): boolean {
        return this.ended;
    }

    /** Sends a statement and waits for its whole answer, up to READY or the end of the connection. */
    public query(id: string, statement: string): Promise<string> {
        return this.exchange(`QUERY ${id} ${statement}`);
    }

    /** Sends one line and waits for the answer. */
    public async exchange(line: string): Promise<string> {
        this.text = "";
        this.socket.write(`${line}\r\n`, "latin1");
        while (!/^READY .*\r\n/m.test(this.text) && !this.ended) await new Promise<void>(resolve => this.wake = resolve);
        return this.text;
    }

    public close(): void {
        this.socket.destroy();
    }
}
