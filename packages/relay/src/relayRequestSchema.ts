import { Freshness } from "@vanillarouter/session/model/freshness";
import { StatementKind } from "@vanillarouter/session/model/statementKind";
import { QuotaLimits } from "@vanillarouter/session/quota/quotaLimits";
import * as z from "zod";
import { lineSchema } from "./lineSchema";
import { positionSchema } from "./positionSchema";

/** A field of a line that ends at the next space. */
const wordSchema = lineSchema.refine(text => text !== "" && !text.includes(" "), "must be one word");

const workClassSchema = z.object({
    database: z.string(),
    service: z.string(),
    freshness: z.enum(Freshness),
    maxAgeMs: z.number().nonnegative(),
    statementTimeoutMs: z.number().nonnegative(),
    targetMs: z.number().nonnegative(),
    rank: z.number().int().nonnegative(),
});

const operationSchema = z.object({
    /** Id of the operation's first statement. */
    id: z.string(),
    workClass: workClassSchema,
    tenant: wordSchema.optional(),
    /** Position of the session's last commit in the service. */
    floor: positionSchema.optional(),
    /** Time in milliseconds for which the operation has waited on the entry VM. */
    waitedMs: z.number().nonnegative(),
    readOnly: z.boolean(),
    mayRead: z.boolean(),
});

const statementSchema = z.object({
    id: wordSchema,
    kind: z.enum(StatementKind),
    text: lineSchema,
    name: lineSchema,
    argument: lineSchema,
    readOnly: z.boolean(),
});

const sessionSchema = z.object({
    values: z.array(z.tuple([wordSchema, lineSchema])),
    /** Definition of the prepared statement, if the statement executes one. */
    prepared: z.object({ shape: lineSchema, readOnly: z.boolean() }).optional(),
});

/** Upper limit of a long poll. `ChangeFollower` asks for less; a message with a longer wait is rejected as malformed. */
const maxWaitMs = 30_000;

/** Messages from an entry VM to a gateway. `call` and `transaction` are numbers that are unique within a link. */
export const relayRequestSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("run"), call: z.number(), operation: operationSchema, statement: statementSchema, session: sessionSchema }),
    z.object({
        kind: z.literal("transact"),
        call: z.number(),
        transaction: z.number(),
        /** Present with the first statement of a transaction. */
        operation: operationSchema.optional(),
        statement: statementSchema,
        session: sessionSchema,
    }),
    /** The caller of a `run` or `transact` has left: what has not been sent to an upstream is dropped. The call still gets its one response. */
    z.object({ kind: z.literal("cancel"), call: z.number() }),
    z.object({ kind: z.literal("roll-back"), transaction: z.number() }),
    z.object({ kind: z.literal("check"), call: z.number(), service: z.string() }),
    /**
     * Long poll for changes of the store after a revision of an era, for which the response is due within `waitMs`. It is declined without
     * an era, because the revision may be one of a history that the store has lost.
     */
    z.object({ kind: z.literal("follow"), call: z.number(), era: z.number().optional(), after: z.number(), waitMs: z.number().max(maxWaitMs) }),
    /** Asks for the configuration if it changed after a revision of an era. The sender is not served by the store. */
    z.object({ kind: z.literal("configuration"), call: z.number(), era: z.number(), after: z.number() }),
    /** Asks the keeper of one part of a tenant's limit for tokens. */
    z.object({
        kind: z.literal("quota"),
        call: z.number(),
        tenant: z.string().max(QuotaLimits.maxTenantLength),
        part: z.number().int().nonnegative().max(QuotaLimits.maxParts - 1),
        count: z.number().int().positive().max(QuotaLimits.maxTokens),
    }),
    z.object({ kind: z.literal("ping") }),
]);
