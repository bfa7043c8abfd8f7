import { Operation } from "@vanillarouter/base/operation";
import { UpstreamCommand } from "./upstreamCommand";
import { UpstreamResponse } from "./upstreamResponse";
import { UpstreamStatus } from "./upstreamStatus";

/** A network connection to an upstream. Commands run one after another. */
export interface UpstreamLink {
    readonly isOpen: boolean;
    /** Runs a command. If no complete response arrives within `timeoutMs`, closes the link and returns undefined. */
    run(command: UpstreamCommand, timeoutMs: number): Operation<UpstreamResponse | undefined>;
    /** Decodes the response to a `Status`, `Fence` or `Demote` command. Returns undefined if it contains no status. */
    readStatus(response: UpstreamResponse): UpstreamStatus | undefined;
    /** Calls the listener once when the link has closed. */
    onClosed(listener: () => void): void;
    close(): void;
}
