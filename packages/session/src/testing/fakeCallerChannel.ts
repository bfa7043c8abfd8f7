import { Channel } from "@vanillarouter/base/channel";
import { Operation } from "@vanillarouter/base/operation";
import { CallerChannel } from "../model/callerChannel";
import { CallerStatement } from "../model/callerStatement";
import { ErrorKind } from "../model/errorKind";

/** A caller's connection of a test, which records the responses. */
export class FakeCallerChannel implements CallerChannel {
    public readonly database = "db";
    public readonly callerAddress = "caller";
    public readonly statements = Channel.create<CallerStatement | undefined>();
    /** `ready`, `ok`, or the kind of an error, in the order in which they were sent. */
    public readonly responses: string[] = [];
    public lastText = "";
    public isClosed = false;
    public readonly sendReady = (): void => void this.responses.push("ready");
    public readonly sendSuccess = (): void => void this.responses.push("ok");
    public readonly recordSessionLength = (): void => undefined;
    public readonly forgetCredential = (): void => void (this.credential = undefined);
    private readonly closeListeners: (() => void)[] = [];

    private constructor(public credential: string | undefined) {}

    public static create(credential?: string): FakeCallerChannel {
        return new FakeCallerChannel(credential);
    }

    public sendStatement(statement: CallerStatement): void {
        this.statements.send(statement);
    }

    public onClosed(listener: () => void): void {
        this.closeListeners.push(listener);
    }

    public close(): void {
        this.isClosed = true;
        this.statements.send(undefined);
        for (const listener of this.closeListeners.splice(0)) listener();
    }

    public receive(): Operation<CallerStatement | undefined> {
        return this.statements.receive();
    }

    public sendError(error: ErrorKind, text: string): void {
        this.responses.push(error);
        this.lastText = text;
    }

    public rejectLogin(error: ErrorKind, text: string): void {
        this.sendError(error, text);
        this.close();
    }
}
