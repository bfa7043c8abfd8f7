import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { AuditRecord } from "@vanillarouter/platform/auditRecord";
import { ConfigurationChange } from "@vanillarouter/platform/configurationChange";
import { ConfigurationReceipt } from "@vanillarouter/platform/configurationReceipt";
import { Result } from "ts-results";

/**
 * The operations that the administration API uses to change the configuration and to read its history. Implemented by
 * `ConfigurationEditor`.
 */
export interface ConfigurationWriter {
    /**
     * Applies a change. If an edited item does not have the expected change id, the `details` of the failure show what changed in
     * the meantime.
     */
    apply(change: ConfigurationChange): Operation<Result<ConfigurationReceipt, Failure>>;
    /** Returns at most `limit` changes, newest first. */
    readHistory(limit: number): Operation<Result<readonly AuditRecord[], Failure>>;
}
