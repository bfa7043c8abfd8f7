/** Limits and timeouts of relay links and of the operations sent over them. */
export const RelayLimits = {
    /** Results with several rows of a mebibyte need not fit, as the line protocol cannot carry them either. JSON escapes count towards the limit. */
    maxMessageBytes: 4_194_304,
    /** Added to the statement timeout when waiting for a gateway, which stops the statement at that timeout and only then sends its response. */
    responseMarginMs: 100,
    /** Maximum number of gateways that one operation is sent to. */
    maxGatewaysTried: 3,
    /**
     * Maximum length of the text of an item that is sent to followers. A longer text would load the watcher's link once per
     * follower, so followers read such items from the store themselves.
     */
    maxInlineTextLength: 8_192,
    /** An entry VM that waits for a response or has a transaction open sends a message at least this often. */
    pingIntervalMs: 1_000,
    /** A gateway closes a link with open transactions, and rolls these back, after this time without a message. An entry VM then closes it too. */
    transactionSilenceMs: 3_500,
    /** A gateway closes a link without open transactions after this time without a message. */
    idleSilenceMs: 30_000,
} as const;
