import { ConnectionObserver } from "./connectionObserver";

/** An observer for programs that neither log nor count connections. */
export const silentConnectionObserver: ConnectionObserver = { onOpened: () => {}, onEvicted: () => {}, onSurplusClosed: () => {} };
