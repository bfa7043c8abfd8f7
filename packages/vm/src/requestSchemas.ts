import { Rank } from "@vanillarouter/base/rank";
import { OutcomeRequest } from "@vanillarouter/routing/entry/outcomeRequest";
import { StatementKind } from "@vanillarouter/routing/entry/statementKind";
import { TransactionEndRequest } from "@vanillarouter/routing/entry/transactionEndRequest";
import { TransactionStatement } from "@vanillarouter/routing/entry/transactionStatement";
import { OwnerRequest } from "@vanillarouter/routing/owner/ownerRequest";
import { TransactionRequest } from "@vanillarouter/routing/owner/transactionRequest";
import { z } from "zod";
import { MemberState } from "./memberState";

/** Requires a schema for every field, because fields without one are dropped when a request is parsed. */
type SchemaFields<T> = Readonly<Record<keyof T, z.ZodType>>;

const timeoutMs = z.number().min(0).max(3_600_000);
const position = z.object({ term: z.number(), position: z.number() });
const version = z.number().int().min(0);
const item = z.object({ changeId: z.string(), value: z.unknown() });

const name = z.string().min(1);
/** Sending to a port outside this range throws an error. */
const port = z.number().int().min(1).max(65_535);

const vm = z.object({
    id: name,
    zone: name,
    host: name,
    heartbeatPort: port,
    linkPort: port,
    incarnation: z.number().int().min(0),
    leaving: z.boolean(),
});

/** Schemas of the requests between VMs. */
export const requestSchemas = {
    execute: z.object(
        {
            requestId: z.string(),
            upstream: z.string(),
            group: z.string(),
            className: z.string(),
            rank: z.enum(Rank),
            franchisee: z.string(),
            kind: z.enum([StatementKind.Read, StatementKind.Write]),
            sql: z.string(),
            timeoutMs,
            floor: position.optional(),
            maxAgeMs: z.number().optional(),
            term: z.number().optional(),
            repeatable: z.boolean(),
        } satisfies SchemaFields<OwnerRequest>,
    ),
    begin: z.object(
        {
            requestId: z.string(),
            upstream: z.string(),
            group: z.string(),
            className: z.string(),
            rank: z.enum(Rank),
            franchisee: z.string(),
            term: z.number(),
            timeoutMs,
            entryVm: z.string().optional(),
        } satisfies SchemaFields<TransactionRequest>,
    ),
    statement: z.object(
        { transactionId: z.string(), upstream: z.string(), sequence: z.number(), sql: z.string(), timeoutMs } satisfies SchemaFields<TransactionStatement>,
    ),
    end: z.object({ transactionId: z.string(), upstream: z.string(), commit: z.boolean(), timeoutMs } satisfies SchemaFields<TransactionEndRequest>),
    resolve: z.object({ requestId: z.string(), group: z.string(), upstream: z.string(), term: z.number(), timeoutMs } satisfies SchemaFields<OutcomeRequest>),
    confirm: z.object({ group: z.string(), upstream: z.string(), timeoutMs }),
    pull: z.object({ names: z.array(z.string()).max(64) }),
    push: z.object({
        from: z.string(),
        deltas: z.array(z.object({
            name: z.string(),
            fromVersion: version,
            version,
            changeId: z.string(),
            set: z.record(z.string(), item),
            removed: z.array(z.string()),
        })),
    }),
    members: z.object({
        zone: z.string(),
        digests: z.record(z.string(), z.number()),
        updates: z.array(z.object({ vm, state: z.enum(MemberState) })),
        configurationMark: z.number(),
    }),
    groups: z.object({
        digest: z.number().optional(),
        views: z.array(z.object({ group: z.string(), term: z.number(), primary: z.string().optional() })),
        rates: z.array(z.object({ upstream: z.string(), slotTimeByClass: z.record(z.string(), z.number()), ageMs: z.number() })),
    }),
} as const;
