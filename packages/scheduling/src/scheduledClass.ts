import { Rank } from "@vanillarouter/base/rank";
import { ClassQueue } from "./classQueue";
import { ServiceTimes } from "./serviceTimes";

/** The scheduler's state for a class of work. */
export interface ScheduledClass {
    readonly name: string;
    readonly queue: ClassQueue;
    readonly times: ServiceTimes;
    /** Rank of the class's last request. Operators may change the rank of a class at any time. */
    rank: Rank;
}
