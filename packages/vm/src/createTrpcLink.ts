import { TRPCLink } from "@trpc/client";
import { observable } from "@trpc/server/observable";
import { LinkRouter } from "./linkRouter";
import { PendingCalls } from "./pendingCalls";

/**
 * Creates the `trpc` link that sends calls over an open socket. The library's own WebSocket link waits for a timer before
 * sending, which adds more than a millisecond to each statement; see docs/decisions/links.md for the measurements.
 */
export function createTrpcLink(calls: PendingCalls): TRPCLink<LinkRouter> {
    return () => ({ op }) =>
        observable(observer => {
            calls.sendOperation(op, observer);
        });
}
