import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { Result } from "ts-results";
import { UpstreamConnection } from "./upstreamConnection";
import { UpstreamControl } from "./upstreamControl";

/** Opens connections to upstreams. */
export interface UpstreamConnector {
    /** Opens a connection for statements. Takes about 10 ms. */
    connect(upstream: UpstreamSettings, timeoutMs: number): Operation<Result<UpstreamConnection, Failure>>;
    /** Returns the control interface of an upstream, which keeps a connection of its own and reopens it when it fails. */
    openControl(upstream: UpstreamSettings): UpstreamControl;
}
