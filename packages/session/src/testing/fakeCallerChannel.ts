import { Channel } from "@vanillarouter/base/channel";
import { Operation } from "@vanillarouter/base/operation";
import { CallerChannel } from "../model/callerChannel";
import { CallerStatement } from "../model/callerStatement";

/** A caller's connection, on which the test sends statements and which it closes. */
export class FakeCallerChannel implements CallerChannel {
    public readonly database = "db";
    public readonly callerAddress = "test";
    public readonly credential = undefined;
    /** Receipts and errors that were sent, in order. */
    public readonly sent: string[] = [];
    private readonly statements = Channel.create<CallerStatement | undefined>();
    private readonly listeners: (() => void)[] = [];

    private constructor() {}

    public static create(): FakeCallerChannel {
        return new FakeCallerChannel();
    }

    public sendStatement(statement: CallerStatement): void {
        this.statements.send(statement);
    }

    public *receive(): Operation<CallerStatement | undefined> {
        return yield* this.statements.receive();
    }

    public sendReady(): void {}

    public sendSuccess(_rows: readonly string[], receipt: string | undefined): void {
        this.sent.push(receipt ?? "-");
    }

    public sendError(error: string): void {
        this.sent.push(error);
    }

    public rejectLogin(error: string): void {
        this.sent.push(error);
    }

    public onClosed(listener: () => void): void {
        this.listeners.push(listener);
    }

    public close(): void {
        this.statements.send(undefined);
        for (const listener of this.listeners.splice(0)) listener();
    }
}
