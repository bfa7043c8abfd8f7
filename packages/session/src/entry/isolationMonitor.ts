import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import * as bunyan from "bunyan";
import { Shutdown } from "./shutdown";

const checkIntervalMs = 100;

/** Moves callers to other VMs while this VM is cut off from most services. */
export class IsolationMonitor {
    private isCurrentlyIsolated = false;
    /** Number of times that this VM has become isolated. */
    private isolationCount = 0;

    private constructor(
        private readonly clock: Clock,
        private readonly tasks: TaskGroup,
        private readonly shutdown: Shutdown,
        private readonly leaveRotationMs: number,
        private readonly log: bunyan,
    ) {}

    /** `leaveRotationMs` is the time after which the load balancer sends no more callers to a VM that is not ready. */
    public static create(clock: Clock, tasks: TaskGroup, shutdown: Shutdown, leaveRotationMs: number, log: bunyan): IsolationMonitor {
        return new IsolationMonitor(clock, tasks, shutdown, leaveRotationMs, log);
    }

    public get isIsolated(): boolean {
        return this.isCurrentlyIsolated;
    }

    /** Checks all services several times a second. `isCutOff` returns whether this VM cannot serve a service now. */
    public *run(listServices: () => Iterable<string>, isCutOff: (service: string) => boolean): Operation<never> {
        for (;;) {
            yield* sleep(this.clock, checkIntervalMs);
            const services = [...listServices()];
            const isIsolated = services.filter(isCutOff).length > services.length / 2;
            if (isIsolated !== this.isCurrentlyIsolated) this.recordChange(isIsolated);
        }
    }

    private recordChange(isIsolated: boolean): void {
        this.isCurrentlyIsolated = isIsolated;
        this.log.warn({ dependency: "upstreams" }, isIsolated ? "dependency.lost" : "dependency.regained");
        if (isIsolated) this.tasks.start(this.closeSessionsIfStillIsolated(++this.isolationCount));
        else this.shutdown.cancel();
    }

    /** Closes idle sessions if this VM stays isolated, but not after a brief isolation, as on a saturated link. */
    private *closeSessionsIfStillIsolated(isolationNumber: number): Operation<void> {
        yield* sleep(this.clock, this.leaveRotationMs);
        if (this.isCurrentlyIsolated && this.isolationCount === isolationNumber) this.shutdown.closeIdleSessions();
    }
}
