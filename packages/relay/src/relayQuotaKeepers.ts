import { Operation } from "@vanillarouter/base/operation";
import { MemberEntry } from "@vanillarouter/session/model/memberEntry";
import { QuotaGrant } from "@vanillarouter/session/quota/quotaGrant";
import { QuotaKeepers } from "@vanillarouter/session/quota/quotaKeepers";
import { QuotaLimits } from "@vanillarouter/session/quota/quotaLimits";
import { QuotaRequest } from "@vanillarouter/session/quota/quotaRequest";
import { RelayGateways } from "./relayGateways";

/** Time after which the response to a request is no longer waited for on the link. Callers give up earlier. */
const responseTimeoutMs = 500;

/** Asks keepers over the links between VMs, and this VM without one. */
export class RelayQuotaKeepers implements QuotaKeepers {
    private constructor(
        private readonly vmId: string,
        private readonly gateways: RelayGateways,
        private readonly grantTokens: (request: QuotaRequest) => QuotaGrant,
    ) {}

    /** `grantTokens` grants tokens of the parts that the VM `vmId`, this one, keeps itself. */
    public static create(vmId: string, gateways: RelayGateways, grantTokens: (request: QuotaRequest) => QuotaGrant): RelayQuotaKeepers {
        return new RelayQuotaKeepers(vmId, gateways, grantTokens);
    }

    public *ask(keeper: MemberEntry, request: QuotaRequest): Operation<QuotaGrant | undefined> {
        if (keeper.id === this.vmId) return this.grantTokens(request);
        // A keeper would close the link, which carries statements too.
        if (request.tenant.length > QuotaLimits.maxTenantLength) return undefined;
        const link = yield* this.gateways.getOrCreate(keeper).obtainLink();
        const response = yield* link?.callRepeatable(responseTimeoutMs, call => ({ kind: "quota", call, ...request })) ?? noResponse();
        return response?.kind === "granted" ? { count: response.count, retryMs: response.retryMs } : undefined;
    }
}

function* noResponse(): Operation<undefined> {}
