import { Clock } from "@vanillarouter/base/clock";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { UpstreamConnection } from "@vanillarouter/routing/group/upstreamConnection";
import { UpstreamConnector } from "@vanillarouter/routing/group/upstreamConnector";
import { UpstreamControl } from "@vanillarouter/routing/group/upstreamControl";
import { Ok, Result } from "ts-results";
import { MysqlClient } from "./mysqlClient";
import { MysqlUpstreamConnection } from "./mysqlUpstreamConnection";
import { MysqlUpstreamControl } from "./mysqlUpstreamControl";
import { UpstreamCredentials } from "./upstreamCredentials";

interface ConnectorOptions extends UpstreamCredentials {
    readonly clock: Clock;
}

/** Opens connections to upstreams over the MySQL protocol with the `mysql2` client. */
export class MysqlUpstreamConnector implements UpstreamConnector {
    private constructor(private readonly options: ConnectorOptions) {}

    public static create(options: ConnectorOptions): MysqlUpstreamConnector {
        return new MysqlUpstreamConnector(options);
    }

    public *connect(upstream: UpstreamSettings, timeoutMs: number): Operation<Result<UpstreamConnection, Failure>> {
        const client = yield* MysqlClient.connect(upstream, this.options, this.options.clock, timeoutMs);
        return client.err ? client : Ok(MysqlUpstreamConnection.create(upstream.id, client.val));
    }

    public openControl(upstream: UpstreamSettings): UpstreamControl {
        return MysqlUpstreamControl.create(upstream, this.options, this.options.clock);
    }
}
