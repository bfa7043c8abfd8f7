/** A call, in the form that `trpc` gives it. */
interface LinkRequest {
    readonly id: number;
    readonly method: "query" | "mutation";
    readonly params: { readonly path: string; readonly input: unknown; };
}

/** An answer to a call: its result, or the shape of an error. */
interface LinkResponse {
    readonly id: number;
    readonly result?: { readonly type: "data"; readonly data: unknown; };
    readonly error?: { readonly message: string; readonly code: number; readonly data?: unknown; };
}

/** A message on a link. Several travel in one frame, as an array. */
export type LinkMessage = LinkRequest | LinkResponse;
