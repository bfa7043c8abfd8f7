import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { OthersLoad } from "@vanillarouter/scheduling/othersLoad";
import { SlotQuota } from "@vanillarouter/scheduling/slotQuota";
import { SlotScheduler } from "@vanillarouter/scheduling/slotScheduler";
import { Err, Ok, Result } from "ts-results";
import { hasCallerLeft } from "../entry/hasCallerLeft";
import { ErrorKind } from "../model/errorKind";
import { convertRank } from "./convertRank";
import { runUnlessAbandoned } from "./runUnlessAbandoned";
import { SlotRequest } from "./slotRequest";

/** This VM's use of the slots of one upstream: how many statements it may run at once, and which of them is next. */
export class UpstreamSlots {
    private readonly scheduler: SlotScheduler;
    private readonly quota = SlotQuota.create();
    private readonly others = OthersLoad.create();

    private constructor(private readonly clock: Clock, private readonly getSlots: () => number, private readonly getGatewayCount: () => number) {
        this.scheduler = SlotScheduler.create(clock, Math.max(1, getSlots()));
    }

    /** `getSlots` returns the slots of the upstream, `getGatewayCount` the number of VMs that share them. */
    public static create(clock: Clock, getSlots: () => number, getGatewayCount: () => number): UpstreamSlots {
        return new UpstreamSlots(clock, getSlots, getGatewayCount);
    }

    /** Statements of this VM that run, wait for a slot, and may run at once. */
    public get use(): { readonly running: number; readonly waiting: number; readonly quota: number; } {
        const quota = this.quota.compute(this.getSlots(), this.getGatewayCount(), this.clock.now());
        return { running: this.scheduler.runningCount, waiting: this.scheduler.waitingCount, quota };
    }

    /** Expected time until a new statement gets a slot, in milliseconds. */
    public get expectedWaitMs(): number {
        return this.scheduler.estimateDelay();
    }

    /** Running and waiting statements of this VM per slot of the upstream. */
    public get load(): number {
        return this.inFlight / Math.max(1, this.getSlots());
    }

    /** Statements of this VM that run or wait for a slot. */
    public get inFlight(): number {
        return this.scheduler.runningCount + this.scheduler.waitingCount;
    }

    /** Slots that other VMs are expected to use. */
    public get expectedOthersBusy(): number {
        return this.others.estimate(this.inFlight, this.getGatewayCount(), this.clock.now());
    }

    /** Age of the latest status in milliseconds; undefined if there was none. */
    public get newsAgeMs(): number | undefined {
        return this.others.computeAgeMs(this.clock.now());
    }

    /** Records how many slots of the upstream are in use by all VMs. */
    public recordBusySlots(busySlots: number): void {
        const now = this.clock.now();
        this.quota.observe(busySlots, this.getSlots(), now);
        this.others.observe(busySlots, this.getSlots(), this.scheduler.runningCount, now);
    }

    /** Runs an operation in a slot. Fails with `Busy`, without running it, if it would get the slot too late for its deadline, or if its caller leaves before. */
    public *run<T>(request: SlotRequest, continuesWork: boolean, operation: () => Operation<T>): Operation<Result<T, ErrorKind>> {
        this.scheduler.setSlots(this.use.quota);
        const slotRequest = {
            className: request.workClass.database,
            rank: convertRank(request.workClass.rank),
            // The scheduler shares the slots of a class fairly among these; callers without a tenant share as one.
            franchisee: request.tenant ?? "",
            arrivedAt: request.receivedAt,
            deadline: request.deadline,
            afterSlotMs: 0,
            continuesWork,
        };
        let isStarted = false;
        const start = function*(): Operation<Result<T, ErrorKind>> {
            if (hasCallerLeft(request)) return Err(ErrorKind.Busy);
            isStarted = true;
            return Ok(yield* operation());
        };
        const ran = yield* runUnlessAbandoned(request.abandonment, () => isStarted, this.scheduler.run(slotRequest, start));
        return ran?.ok === true ? ran.val : Err(ErrorKind.Busy);
    }
}
