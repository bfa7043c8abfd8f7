import { z } from "zod";
import { ListedVm } from "./listedVm";

const schema = z.object({
    Service: z.object({
        ID: z.string().min(1),
        Address: z.string().min(1),
        Port: z.number().int().min(1).max(65535),
        Meta: z.object({ "zone": z.string().min(1), "heartbeat-port": z.coerce.number().int().min(1).max(65535) }),
    }),
    Checks: z.array(z.object({ CheckID: z.string(), Status: z.string() })),
});

/** Parses one element of the response of `/v1/health/service`. Returns undefined if it is malformed or the VM has a critical health check. */
export function parseListedVm(element: unknown): ListedVm | undefined {
    const parsed = schema.safeParse(element);
    if (!parsed.success) return undefined;
    const { Service: service, Checks: checks } = parsed.data;
    const leaving = checks.some(check => check.CheckID.startsWith("_service_maintenance") && check.Status !== "passing");
    const failed = checks.some(check => !check.CheckID.startsWith("_service_maintenance") && check.Status === "critical");
    if (failed) return undefined;
    return {
        id: service.ID,
        zone: service.Meta.zone,
        host: service.Address,
        heartbeatPort: service.Meta["heartbeat-port"],
        linkPort: service.Port,
        leaving,
    };
}
