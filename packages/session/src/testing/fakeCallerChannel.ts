import { Channel } from "@vanillarouter/base/channel";
import { Operation } from "@vanillarouter/base/operation";
import { CallerChannel } from "../model/callerChannel";
import { CallerStatement } from "../model/callerStatement";
import { ErrorKind } from "../model/errorKind";

/** A caller's connection of a test, which records the responses. */
export class FakeCallerChannel implements CallerChannel {
    public readonly callerAddress = "caller";
    /** `ready`, `ok`, or the kind of an error, in the order in which they were sent. */
    public readonly responses: string[] = [];
    public lastText = "";
    public isClosed = false;
    private readonly statements = Channel.create<CallerStatement | undefined>();

    private constructor(public readonly database: string, public credential: string | undefined) {}

    public static create(database: string, credential: string | undefined): FakeCallerChannel {
        return new FakeCallerChannel(database, credential);
    }

    public forgetCredential(): void {
        this.credential = undefined;
    }

    public send(statement: CallerStatement): void {
        this.statements.send(statement);
    }

    public receive(): Operation<CallerStatement | undefined> {
        return this.statements.receive();
    }

    public sendReady(): void {
        this.responses.push("ready");
    }

    public sendSuccess(): void {
        this.responses.push("ok");
    }

    public sendError(error: ErrorKind, text: string): void {
        this.responses.push(error);
        this.lastText = text;
    }

    public rejectLogin(error: ErrorKind, text: string): void {
        this.sendError(error, text);
        this.close();
    }

    public close(): void {
        this.isClosed = true;
    }
}
