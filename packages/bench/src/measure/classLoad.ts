import { WorkClass } from "@vanillarouter/base/workClass";

/** Ordinary load of one class on the whole fleet. */
export interface ClassLoad {
    readonly workClass: WorkClass;
    readonly requestsPerSecond: number;
    readonly writeShare: number;
    /** Mean service time of a write on a slot, in milliseconds. */
    readonly writeMs: number;
    /** Mean service time of a read on a slot, in milliseconds. */
    readonly readMs: number;
}
