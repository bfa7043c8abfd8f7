import { UpstreamOwnerSettings } from "./upstreamOwnerSettings";

/** What a host makes its owners from. Groups and upstreams come from the configuration. */
export type OwnerHostSettings = Omit<UpstreamOwnerSettings, "group" | "upstream" | "sharedRates">;
