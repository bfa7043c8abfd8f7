import { CallerSession } from "@vanillarouter/routing/entry/callerSession";

/** The entry role as the listener uses it. */
export interface SessionFactory {
    openSession(): CallerSession;
}
