import { ErrorKind } from "@vanillarouter/session/model/errorKind";
import { QuotaLimits } from "@vanillarouter/session/quota/quotaLimits";
import * as z from "zod";
import { lineSchema } from "./lineSchema";
import { positionSchema } from "./positionSchema";

const outcomeSchema = z.object({
    rows: z.array(lineSchema),
    receipt: lineSchema.optional(),
    error: z.enum(ErrorKind).optional(),
    text: lineSchema,
});

/** Messages from a gateway to an entry VM. */
export const relayResponseSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("outcome"),
        call: z.number(),
        outcome: outcomeSchema,
        /** Position of the session's last commit in the service. */
        floor: positionSchema.optional(),
    }),
    /** Nothing was executed: the VM is not a gateway of the service, or is cut off from its upstreams or from the store. */
    z.object({ kind: z.literal("declined"), call: z.number() }),
    /** Response to `check`: the VM accepts statements for the service. */
    z.object({ kind: z.literal("ready"), call: z.number() }),
    z.object({
        kind: z.literal("changes"),
        call: z.number(),
        /** `isLarge` replaces a text that is too long to send; the follower reads it from the store. */
        changes: z.array(z.object({ key: z.string(), text: z.string().optional(), isLarge: z.boolean().optional(), revision: z.number() })),
        /** Era of the changes; a follower does not use changes without one. */
        era: z.number().optional(),
        /** Revision from which the follower continues. */
        revision: z.number(),
    }),
    /** Response to `quota`: the number of tokens, and the time in milliseconds before which the keeper need not be asked again. */
    z.object({
        kind: z.literal("granted"),
        call: z.number(),
        count: z.number().int().nonnegative().max(QuotaLimits.maxTokens),
        retryMs: z.number().int().nonnegative().max(QuotaLimits.maxRetryMs),
    }),
    /** Response to `ping`. VMs of earlier versions close a link on which they get a `cancel`, so they do not set `acceptsCancel`. */
    z.object({ kind: z.literal("pong"), acceptsCancel: z.boolean().optional() }),
]);
