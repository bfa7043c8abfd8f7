import { LineSocket } from "@vanillarouter/base/lineSocket";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { Task } from "@vanillarouter/base/task";

/** A longer message delays those behind it on a slow link: 64 KiB take 75 ms at 7 Mbit/s, the limit of 4 MiB takes 4.8 s. */
const largeMessageLength = 65_536;

/**
 * Lets one large message at a time into the buffer of a link. Answers callers that send many large statements: messages of other
 * callers, pings and changes of the store wait behind one large message at most.
 */
export class LargeMessageTurns {
    private isTaken = false;
    private readonly ended = Signal.create<void>();

    private constructor(private readonly socket: LineSocket) {}

    public static create(socket: LineSocket): LargeMessageTurns {
        return new LargeMessageTurns(socket);
    }

    /** Waits until a message of this length may be sent, which it must be at once. */
    public *wait(length: number): Operation<void> {
        if (length <= largeMessageLength) return;
        while (this.isTaken) yield* this.ended.wait();
        this.isTaken = true;
        // The turn lasts until the message has left, even if its sender has given up by then.
        queueMicrotask(() => Task.start(this.endWhenSent()));
    }

    private *endWhenSent(): Operation<void> {
        yield* this.socket.waitUntilSent();
        this.isTaken = false;
        this.ended.notifyAll();
    }
}
