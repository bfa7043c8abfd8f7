import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { Err, Ok, Result } from "ts-results";
import { ErrorKind } from "../model/errorKind";
import { UpstreamDialer } from "../model/upstreamDialer";
import { UpstreamEntry } from "../model/upstreamEntry";
import { UpstreamLink } from "../model/upstreamLink";
import { FakeGroupServers } from "./fakeGroupServers";
import { FakeLink } from "./fakeLink";

/** Opens connections to the upstreams of a fake group. */
export class FakeDialer implements UpstreamDialer {
    public dialCount = 0;
    /** Time that opening a connection takes, in milliseconds. */
    public dialMs = 2;

    private constructor(private readonly group: FakeGroupServers, private readonly clock: Clock) {}

    public static create(group: FakeGroupServers, clock: Clock): FakeDialer {
        return new FakeDialer(group, clock);
    }

    public *dial(upstream: UpstreamEntry, tenant: string | undefined, timeoutMs: number): Operation<Result<UpstreamLink, ErrorKind>> {
        this.dialCount++;
        const server = this.group.find(upstream.id);
        if (server.refusesDials) return Err(ErrorKind.Refused);
        yield* sleep(this.clock, server.isUnresponsive ? timeoutMs : this.dialMs);
        if (server.isUnresponsive) return Err(ErrorKind.TimedOut);
        return server.sessions.size >= server.maxConnections ? Err(ErrorKind.TooManyConnections) : Ok(FakeLink.create(server, this.clock, tenant));
    }
}
