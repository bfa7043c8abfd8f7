/** A connection that carries lines ended by CR LF, one byte a character. */
export class LineConnection {
    buffer = Buffer.alloc(0);
    isClosed = false;

    constructor(socket, onLine, onClose = () => undefined) {
        this.socket = socket;
        socket.setNoDelay(true);
        const pieces = [];
        socket.on("data", data => {
            if (data.indexOf(10) < 0) return void pieces.push(data);
            let rest = Buffer.concat([...pieces.splice(0), data]);
            for (let end = rest.indexOf("\r\n"); end >= 0; end = rest.indexOf("\r\n")) {
                const line = rest.toString("latin1", 0, end);
                rest = rest.subarray(end + 2);
                onLine(line);
            }
            if (rest.length > 0) pieces.push(rest);
        });
        for (const event of ["end", "close", "error"]) {
            socket.on(event, () => {
                if (this.isClosed) return;
                this.isClosed = true;
                socket.destroy();
                onClose();
            });
        }
    }

    send(...lines) {
        if (!this.isClosed) this.socket.write(lines.map(line => `${line}\r\n`).join(""), "latin1");
    }
}
