/** A call in the format of `trpc`. */
interface LinkRequest {
    readonly id: number;
    readonly method: "query" | "mutation";
    readonly params: { readonly path: string; readonly input: unknown; };
}

/** The response to a call: its result or a serialized error. */
interface LinkResponse {
    readonly id: number;
    readonly result?: { readonly type: "data"; readonly data: unknown; };
    readonly error?: { readonly message: string; readonly code: number; readonly data?: unknown; };
}

/** A message on a link. Each frame carries an array of messages. */
export type LinkMessage = LinkRequest | LinkResponse;
