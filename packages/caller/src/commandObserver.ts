import { CallerCommand } from "./callerCommand";

/** What a connection learns of the progress of its commands. */
export interface CommandObserver {
    /** Called when a command has left the queue. */
    onStarted(command: CallerCommand): void;
    /** Called when a response waits in the process, because the caller does not read. */
    onBlocked(): void;
    /** Called after each response has left the process. */
    onResponded(): void;
}
