import { Operation, OperationResultObserver, TRPCClientError } from "@trpc/client";
import { Clock } from "@vanillarouter/base/clock";
import { LinkMessage } from "./linkMessage";
import { LinkRouter } from "./linkRouter";
import { LinkTimeoutError } from "./linkTimeoutError";

type Observer = OperationResultObserver<LinkRouter, unknown>;

/** Receives the outcome of one call. */
interface ResponseHandler {
    accept(result: { readonly type: "data"; readonly data: unknown; }): void;
    reject(err: TRPCClientError<LinkRouter>): void;
}

interface PendingCall {
    readonly handler: ResponseHandler;
    readonly stopTimer: () => void;
}

/** Calls sent over one link whose responses have not arrived yet. A response without a pending call, such as a late one, is dropped. */
export class PendingCalls {
    private readonly calls = new Map<number, PendingCall>();
    private lastId = 0;

    private constructor(private readonly clock: Clock, private readonly transmit: (message: LinkMessage) => void) {}

    public static create(clock: Clock, transmit: (message: LinkMessage) => void): PendingCalls {
        return new PendingCalls(clock, transmit);
    }

    /** Sends a call made by a `trpc` client. `timeoutMs` in the call's context is the time after which it fails if there is no response. */
    public sendOperation(operation: Operation, observer: Observer): void {
        this.send(operation.type as "query" | "mutation", operation.path, operation.input, operation.context["timeoutMs"] as number, {
            accept: result => {
                observer.next({ result });
                observer.complete();
            },
            reject: err => observer.error(err),
        });
    }

    /** Sends a call and passes its outcome to `handler`, which is a timeout error if no response arrives within `timeoutMs` milliseconds. */
    public send(method: "query" | "mutation", path: string, input: unknown, timeoutMs: number, handler: ResponseHandler): void {
        const id = ++this.lastId;
        const stopTimer = this.clock.startTimer(timeoutMs, () => this.fail(id, LinkTimeoutError.create()));
        this.calls.set(id, { handler, stopTimer });
        this.transmit({ id, method, params: { path, input } });
    }

    /** Passes a response to its pending call. */
    public accept(message: LinkMessage): void {
        const call = this.calls.get(message.id);
        if (call === undefined || "method" in message) return;
        this.calls.delete(message.id);
        call.stopTimer();
        if (message.result === undefined) {
            call.handler.reject(TRPCClientError.from({ error: message.error ?? { message: "malformed response", code: -32603 } }));
            return;
        }
        call.handler.accept(message.result);
    }

    /** Fails every pending call because the link has closed. */
    public failAll(reason: string): void {
        for (const id of [...this.calls.keys()]) this.fail(id, new Error(reason));
    }

    private fail(id: number, err: Error): void {
        const call = this.calls.get(id);
        if (call === undefined) return;
        this.calls.delete(id);
        call.stopTimer();
        call.handler.reject(TRPCClientError.from(err));
    }
}
