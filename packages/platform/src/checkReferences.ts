import { CallerAccount } from "@vanillarouter/base/callerAccount";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { ConfigurationShard } from "./configurationShard";
import { Diagnostics } from "./diagnostics";

/** Checks that every account names an existing class, if both shards are given. */
export function checkReferences(shards: ReadonlyMap<string, ConfigurationShard>): Failure | undefined {
    const classes = shards.get("classes");
    const accounts = shards.get("accounts");
    if (classes === undefined || accounts === undefined) return undefined;
    for (const [user, item] of accounts.items) {
        const { defaultClass } = item.value as CallerAccount;
        if (!classes.items.has(defaultClass)) return createFailure(Diagnostics.unknownAccountClass, RunOutcome.DidNotRun, user, defaultClass);
    }
    return undefined;
}
