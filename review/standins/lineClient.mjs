import { connect } from "node:net";

/** Codes that promise that nothing of the client's attempt is kept. */
export const promises = new Set(["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"]);

/** A client of the line protocol: one session, one request at a time. */
export class LineClient {
    constructor(address, now) {
        const [host, port] = address.split(":");
        this.now = now;
        this.text = "";
        this.isClosed = false;
        this.wake = () => undefined;
        this.socket = connect({ host, port: Number(port) });
        this.socket.setNoDelay(true);
        this.socket.setEncoding("latin1");
        this.socket.on("data", data => {
            this.text += data;
            this.wake();
        });
        for (const event of ["end", "error", "close"]) {
            this.socket.on(event, () => {
                this.isClosed = true;
                this.closedAt ??= now();
                this.wake();
            });
        }
    }

    /** Logs in. Returns whether the answer was READY. */
    async logIn(database) {
        const answer = await this.exchange(`CONNECT ${database} client`);
        return answer.isComplete && answer.error === undefined;
    }

    query(id, text) {
        return this.exchange(`QUERY ${id} ${text}`);
    }

    async exchange(line) {
        this.text = "";
        const answer = { sentAt: this.now(), rows: [], isComplete: false };
        this.socket.write(`${line}\r\n`, "latin1");
        while (!/(^|\n)READY .*\r\n$/.test(this.text) && !this.isClosed) await new Promise(resolve => this.wake = resolve);
        answer.endedAt = this.now();
        for (const received of this.text.split("\r\n")) {
            const [word, first = "", ...rest] = received.split(" ");
            if (word === "ROW") answer.rows.push(received.slice(4));
            else if (word === "DONE") answer.receipt = received.slice(5);
            else if (word === "ERR") Object.assign(answer, { error: first, errorText: rest.join(" ") });
            else if (word === "READY") Object.assign(answer, { isComplete: true, state: first });
        }
        return answer;
    }

    close() {
        this.socket.destroy();
    }
}
