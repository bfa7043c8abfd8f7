import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { TermResponse } from "@vanillarouter/routing/group/termResponse";
import { UpstreamControl } from "@vanillarouter/routing/group/upstreamControl";
import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";
import { RecordedOutcome } from "@vanillarouter/routing/outcomes/recordedOutcome";
import { Err, Result } from "ts-results";

interface StatusObserver {
    /** Returns a failure if this VM may not use its roles at present, otherwise undefined. */
    readonly checkRoles: () => Failure | undefined;
    /** Called with each status that the upstream reports. */
    readonly onStatus: (status: UpstreamStatus) => void;
}

/**
 * A control that reports its upstream's status to an observer. While this VM may not use its roles, for example after a
 * pause, it rejects the calls that change the group's primary or term.
 */
export class ObservedUpstreamControl implements UpstreamControl {
    private constructor(private readonly control: UpstreamControl, private readonly observer: StatusObserver) {}

    public static create(control: UpstreamControl, observer: StatusObserver): ObservedUpstreamControl {
        return new ObservedUpstreamControl(control, observer);
    }

    public get upstream(): string {
        return this.control.upstream;
    }

    public get disconnected(): Signal<void> | undefined {
        return this.control.disconnected;
    }

    public *readStatus(timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        const status = yield* this.control.readStatus(timeoutMs);
        if (status.ok) this.observer.onStatus(status.val);
        return status;
    }

    public *acceptTerm(term: number, timeoutMs: number): Operation<Result<TermResponse, Failure>> {
        const failure = this.observer.checkRoles();
        return failure === undefined ? yield* this.control.acceptTerm(term, timeoutMs) : Err(failure);
    }

    public *promote(term: number, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        const failure = this.observer.checkRoles();
        return failure === undefined ? yield* this.control.promote(term, timeoutMs) : Err(failure);
    }

    public *follow(term: number, primary: string, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        const failure = this.observer.checkRoles();
        return failure === undefined ? yield* this.control.follow(term, primary, timeoutMs) : Err(failure);
    }

    public waitForLogEntry(entry: LogPosition, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        return this.control.waitForLogEntry(entry, timeoutMs);
    }

    public lookUp(requestId: string, timeoutMs: number): Operation<Result<RecordedOutcome | undefined, Failure>> {
        return this.control.lookUp(requestId, timeoutMs);
    }

    public cancel(requestId: string, term: number, timeoutMs: number): Operation<Result<RecordedOutcome, Failure>> {
        return this.control.cancel(requestId, term, timeoutMs);
    }

    public close(): void {
        this.control.close();
    }
}
