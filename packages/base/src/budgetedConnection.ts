/** A connection as the budget sees it. */
export interface BudgetedConnection {
    readonly remoteAddress: string;
    /** Whether the caller has logged in. */
    readonly isLoggedIn: boolean;
    /** Whether the connection is being closed and sends only what waits to be sent. */
    readonly isEnded: boolean;
    /** Whether a statement of the caller is being executed. */
    readonly isServing: boolean;
    /** Whether a message has begun to arrive and is read. */
    readonly isReceiving: boolean;
    /** Bytes held for the caller. */
    readonly heldBytes: number;
    /** Number of bytes of complete responses that have been sent; undefined if none is waiting to be sent. */
    readonly sentWhileWaiting: number | undefined;
    /** Closes the connection at once and gives its memory back. */
    closeForLimit(): void;
}
