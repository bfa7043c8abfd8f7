import { initTRPC } from "@trpc/server";
import { LinkContext } from "./linkContext";
import { PeerServices } from "./peerServices";
import { requestSchemas } from "./requestSchemas";
import { toWireResponse } from "./toWireResponse";

/** Creates the `trpc` router that serves the roles of this VM to other VMs. */
// eslint-disable-next-line @typescript-eslint/explicit-function-return-type -- The client's types are inferred from the router.
export function createLinkRouter(services: PeerServices) {
    const t = initTRPC.context<LinkContext>().create({ isDev: false });
    const owner = t.router({
        execute: t.procedure.input(requestSchemas.execute).mutation(({ input }) => toWireResponse(services.owner.execute(input))),
        begin: t.procedure.input(requestSchemas.begin).mutation(({ input, ctx }) => {
            // A transaction has the id of the request that begins it.
            ctx.transactions.add(input.requestId, input.upstream);
            return toWireResponse(services.owner.begin(input));
        }),
        statement: t.procedure.input(requestSchemas.statement).mutation(({ input }) => toWireResponse(services.owner.executeInTransaction(input))),
        end: t.procedure.input(requestSchemas.end).mutation(async ({ input, ctx }) => {
            const response = await toWireResponse(services.owner.endTransaction(input));
            if ("value" in response) ctx.transactions.remove(input.transactionId);
            return response;
        }),
        resolve: t.procedure.input(requestSchemas.resolve).mutation(({ input }) => toWireResponse(services.owner.resolveOutcome(input))),
        confirm: t.procedure.input(requestSchemas.confirm).mutation(({ input }) =>
            toWireResponse(services.owner.confirmPosition(input.group, input.upstream, input.timeoutMs))
        ),
    });
    const configuration = t.router({
        digest: t.procedure.query(() => services.readDigest()),
        pull: t.procedure.input(requestSchemas.pull).mutation(({ input }) => services.pullShards(input.names)),
        push: t.procedure.input(requestSchemas.push).mutation(({ input }) => services.pushShards(input.deltas, input.from)),
    });
    const members = t.router({ exchange: t.procedure.input(requestSchemas.members).mutation(({ input }) => services.exchangeMembers(input)) });
    const groups = t.router({ exchange: t.procedure.input(requestSchemas.groups).mutation(({ input }) => services.exchangeGroups(input)) });
    return t.router({ owner, configuration, members, groups });
}
