import { Operation } from "@vanillarouter/base/operation";
import { Result } from "ts-results";
import { ErrorKind } from "./errorKind";
import { UpstreamEntry } from "./upstreamEntry";
import { UpstreamLink } from "./upstreamLink";

/** Opens connections to upstreams. */
export interface UpstreamDialer {
    /** Fails with the upstream's error, `TimedOut` without an answer, or `Other` if the connection was refused. */
    dial(upstream: UpstreamEntry, timeoutMs: number): Operation<Result<UpstreamLink, ErrorKind>>;
}
