import { Operation } from "@vanillarouter/base/operation";
import { MemberEntry } from "../model/memberEntry";
import { QuotaGrant } from "./quotaGrant";
import { QuotaRequest } from "./quotaRequest";

/** The keepers of quotas, as an entry VM reaches them. */
export interface QuotaKeepers {
    /** Asks a keeper for tokens. Returns undefined if it cannot be reached or does not answer; the caller limits the time. */
    ask(keeper: MemberEntry, request: QuotaRequest): Operation<QuotaGrant | undefined>;
}
