import { AnyTRPCRouter, callTRPCProcedure, getTRPCErrorFromUnknown, getTRPCErrorShape } from "@trpc/server";
import { LinkContext } from "./linkContext";
import { LinkMessage } from "./linkMessage";

type CallRequest = Extract<LinkMessage, { readonly method: string; }>;

async function callProcedure(router: AnyTRPCRouter, ctx: LinkContext, request: CallRequest): Promise<LinkMessage> {
    const { id, method: type } = request;
    // Only the id of a received message is checked, so `params` can be missing.
    const { path, input } = request.params ?? { path: "", input: undefined };
    try {
        const data: unknown = await callTRPCProcedure({ router, path, getRawInput: async () => input, ctx, type, signal: undefined, batchIndex: 0 });
        return { id, result: { type: "data", data } };
    }
    catch (err) {
        const error = getTRPCErrorFromUnknown(err);
        return { id, error: getTRPCErrorShape({ config: router._def._config, error, type, path, input, ctx }) };
    }
}

/** Creates the listener that runs the procedure of each call on one incoming link and sends the response. Other messages are ignored. */
export function createCallHandler(router: AnyTRPCRouter, ctx: LinkContext, send: (message: LinkMessage) => void): (message: LinkMessage) => void {
    return message => {
        if ("method" in message) void callProcedure(router, ctx, message).then(send);
    };
}
