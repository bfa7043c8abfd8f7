import { UpstreamOwnerSettings } from "./upstreamOwnerSettings";

/** Dependencies that a host passes to its owners. Groups and upstreams come from the configuration. */
export type OwnerHostSettings = Omit<UpstreamOwnerSettings, "group" | "upstream" | "initialShares">;
