import { Socket } from "node:net";
import { Operation } from "./operation";
import { perform } from "./perform";

/** Waits until a socket is connected. Returns false if it closes before. Cancelling the wait leaves the socket as it is. */
export function waitForConnect(socket: Socket): Operation<boolean> {
    return perform<boolean>({
        start: resume => {
            socket.once("connect", () => resume(true));
            socket.once("close", () => resume(false));
            return () => undefined;
        },
    });
}
