import { GroupDirectory } from "@vanillarouter/routing/groupDirectory";
import { OwnerLink } from "@vanillarouter/routing/ownerLink";
import { RateExchange } from "./rateExchange";

/** The roles of this VM that other VMs use or feed. */
export interface NodeRoles {
    /** The owner role of this VM. */
    readonly owner: OwnerLink;
    readonly groups: GroupDirectory;
    readonly rates: RateExchange;
}
