import { Rank } from "@vanillarouter/base/rank";
import { ClassQueue } from "./classQueue";
import { ServiceTimes } from "./serviceTimes";

/** What the scheduler keeps about a class of work. */
export interface ScheduledClass {
    readonly name: string;
    readonly queue: ClassQueue;
    readonly times: ServiceTimes;
    /** Rank of its last request; operators may change it. */
    rank: Rank;
}
