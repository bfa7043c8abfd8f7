import { ClassLoad } from "../measure/classLoad";
import { LoadTarget } from "./loadTarget";

/** A load and how long it lasts. */
export interface LoadOptions {
    readonly target: LoadTarget;
    /** Database groups; each caller uses one. */
    readonly groups: readonly string[];
    readonly loads: readonly ClassLoad[];
    /** Callers, each with one connection and one session. */
    readonly connections: number;
    /** Requests per second in all; 0 sends each request as soon as the caller's last one has ended. */
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    readonly seed: number;
    /** Prefix of request ids; different for loads on the same groups. */
    readonly runId: string;
    /** Share of requests after which a caller moves to another VM. */
    readonly roamShare: number;
}
