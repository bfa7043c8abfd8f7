import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { PreparedStatement } from "../entry/preparedStatement";
import { CommandKind } from "../model/commandKind";
import { UpstreamCommand } from "../model/upstreamCommand";
import { UpstreamLink } from "../model/upstreamLink";
import { UpstreamResponse } from "../model/upstreamResponse";
import { UpstreamStatus } from "../model/upstreamStatus";
import { FakeUpstreamServer } from "./fakeUpstreamServer";

const oneWayMs = 1;

/** A connection to a fake upstream with a fixed delay in each direction. */
export class FakeLink implements UpstreamLink {
    private open = true;
    private readonly listeners: (() => void)[] = [];
    private readonly session: ReturnType<FakeUpstreamServer["createSession"]>;
    private status: UpstreamStatus | undefined;

    private constructor(private readonly server: FakeUpstreamServer, private readonly clock: Clock, tenant: string | undefined) {
        this.session = server.createSession(tenant);
        server.sessions.add(this.session);
    }

    public static create(server: FakeUpstreamServer, clock: Clock, tenant?: string): FakeLink {
        return new FakeLink(server, clock, tenant);
    }

    public get isOpen(): boolean {
        return this.open;
    }

    /** The session values that the upstream has for this connection. */
    public get sessionValues(): ReadonlyMap<string, string> {
        return this.session.values;
    }

    /** The prepared statements that the upstream has for this connection. */
    public get preparedStatements(): ReadonlyMap<string, PreparedStatement> {
        return this.session.prepared;
    }

    public *run(command: UpstreamCommand, timeoutMs: number): Operation<UpstreamResponse | undefined> {
        let response: UpstreamResponse | undefined;
        try {
            yield* sleep(this.clock, oneWayMs);
            const isResponseLost = this.server.losesResponses;
            const serverResponse = this.server.isUnresponsive ? undefined : this.server.run(this.session, command);
            this.status = this.server.status;
            const executionMs = command.kind === CommandKind.Forward ? this.server.executionMs : 0;
            const responseMs = serverResponse === undefined || isResponseLost ? timeoutMs - oneWayMs : oneWayMs + executionMs;
            yield* sleep(this.clock, Math.min(responseMs, timeoutMs - oneWayMs));
            if (responseMs > timeoutMs - oneWayMs) return undefined;
            response = isResponseLost ? undefined : serverResponse;
            return response;
        }
        finally {
            if (response === undefined) this.close();
        }
    }

    public readStatus(response: UpstreamResponse): UpstreamStatus | undefined {
        return response.error === undefined ? this.status : undefined;
    }

    public onClosed(listener: () => void): void {
        this.listeners.push(listener);
    }

    public close(): void {
        if (!this.open) return;
        this.open = false;
        this.server.sessions.delete(this.session);
        for (const listener of this.listeners) listener();
    }
}
