import { GroupDirectory } from "@vanillarouter/routing/group/groupDirectory";
import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";
import { ShareExchange } from "./shareExchange";

/** The roles of this VM that other VMs call or send data to. */
export interface NodeRoles {
    /** The owner role of this VM. */
    readonly owner: OwnerLink;
    readonly groups: GroupDirectory;
    readonly shares: ShareExchange;
}
