import { CallerSession } from "@vanillarouter/routing/entry/callerSession";

/** Opens the session of a caller connection. Implemented by the entry role of the VM. */
export interface SessionFactory {
    openSession(): CallerSession;
}
