import { Operation } from "@vanillarouter/base/operation";
import { Result } from "ts-results";
import { ErrorKind } from "./errorKind";
import { UpstreamEntry } from "./upstreamEntry";
import { UpstreamLink } from "./upstreamLink";

/** Opens connections to upstreams. */
export interface UpstreamDialer {
    /**
     * Opens a connection for statements of one tenant, or of callers that are not authenticated.
     *
     * Fails with the error that the upstream returned, with `TimedOut` if it did not respond, with `Refused` if nothing
     * listens at its address, or with `Other`.
     */
    dial(upstream: UpstreamEntry, tenant: string | undefined, timeoutMs: number): Operation<Result<UpstreamLink, ErrorKind>>;
}
