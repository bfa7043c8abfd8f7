/** Time limits of small HTTP servers, so that silent connections do not take the places of the platform's. */
export const HttpTimeouts = {
    /** Time from the connection to the end of a request, in milliseconds. The body of a request is not used. */
    requestTimeout: 5_000,
    headersTimeout: 5_000,
    connectionsCheckingInterval: 1_000,
} as const;
