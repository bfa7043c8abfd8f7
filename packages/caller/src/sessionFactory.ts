import { CallerSession } from "@vanillarouter/routing/callerSession";

/** The entry role as the listener uses it. */
export interface SessionFactory {
    openSession(): CallerSession;
}
