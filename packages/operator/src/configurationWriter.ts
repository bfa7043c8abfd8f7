import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { AuditRecord } from "@vanillarouter/platform/auditRecord";
import { ConfigurationChange } from "@vanillarouter/platform/configurationChange";
import { ConfigurationReceipt } from "@vanillarouter/platform/configurationReceipt";
import { Result } from "ts-results";

/** What the administration API needs to change the configuration. `ConfigurationEditor` is one. */
export interface ConfigurationWriter {
    /** Fails with `details` that show what changed in the meantime if an edited entry is not the expected one. */
    apply(change: ConfigurationChange): Operation<Result<ConfigurationReceipt, Failure>>;
    /** Returns the newest changes, newest first. */
    readHistory(limit: number): Operation<Result<readonly AuditRecord[], Failure>>;
}
