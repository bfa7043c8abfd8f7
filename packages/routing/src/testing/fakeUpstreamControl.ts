import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { TermResponse } from "../group/termResponse";
import { UpstreamControl } from "../group/upstreamControl";
import { UpstreamStatus } from "../group/upstreamStatus";
import { RecordedOutcome } from "../outcomes/recordedOutcome";
import { FakeGroup } from "./fakeGroup";
import { FakeUpstream } from "./fakeUpstream";

/** The control interface of a fake upstream. */
export class FakeUpstreamControl implements UpstreamControl {
    private constructor(private readonly group: FakeGroup, private readonly target: FakeUpstream) {}

    public static create(group: FakeGroup, target: FakeUpstream): FakeUpstreamControl {
        return new FakeUpstreamControl(group, target);
    }

    public get upstream(): string {
        return this.target.settings.id;
    }

    public readStatus(timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        this.group.statusReads++;
        return this.request(timeoutMs, () => Ok(this.target.status));
    }

    public acceptTerm(term: number, timeoutMs: number): Operation<Result<TermResponse, Failure>> {
        return this.request(timeoutMs, () => {
            const accepted = term > this.target.acceptedTerm;
            if (accepted) this.target.acceptedTerm = term;
            if (accepted) this.target.isPrimary = false;
            return Ok({ accepted, acceptedTerm: this.target.acceptedTerm, received: this.target.received });
        });
    }

    public promote(term: number, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        return this.request(timeoutMs, () => {
            if (this.target.acceptedTerm !== term) return this.rejectTerm(term);
            if (!this.target.isPrimary) {
                this.target.isPrimary = true;
                this.target.primary = this.upstream;
                this.target.append({ sql: "", isCancellation: false });
                this.group.replicate(this.target);
            }
            return Ok(this.target.status);
        });
    }

    public follow(term: number, primary: string, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        return this.request(timeoutMs, () => {
            if (this.target.acceptedTerm > term) return this.rejectTerm(term);
            this.target.acceptedTerm = term;
            this.target.isPrimary = false;
            this.target.primary = primary;
            this.target.replicateFrom(this.group.get(primary));
            return Ok(this.target.status);
        });
    }

    public *waitForLogEntry(position: LogPosition, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        const target = this.target;
        this.group.waitForLogEntryCalls++;
        return yield* this.group.requestWithTimeout(target, timeoutMs, function*() {
            while (compareLogPositions(target.received, position) < 0 && target.acceptedTerm <= position.term) yield* target.receivedChanged.wait();
            return Ok(target.status);
        });
    }

    public lookUp(requestId: string, timeoutMs: number): Operation<Result<RecordedOutcome | undefined, Failure>> {
        return this.request(timeoutMs, () => Ok(this.target.findRecord(requestId)));
    }

    public cancel(requestId: string, term: number, timeoutMs: number): Operation<Result<RecordedOutcome, Failure>> {
        return this.request<RecordedOutcome>(timeoutMs, () => {
            if (!this.target.isPrimary || this.target.acceptedTerm !== term) return this.rejectTerm(term);
            if (this.target.findRecord(requestId) === undefined) {
                this.target.append({ requestId, sql: "", isCancellation: true });
                this.group.replicate(this.target);
            }
            return Ok(this.target.findRecord(requestId)!);
        });
    }

    public close(): void {}

    private request<T>(timeoutMs: number, serve: () => Result<T, Failure>): Operation<Result<T, Failure>> {
        return this.group.requestWithTimeout(this.target, timeoutMs, function*() {
            return serve();
        });
    }

    private rejectTerm<T>(term: number): Result<T, Failure> {
        return Err(createFailure(Diagnostics.termReplaced, RunOutcome.DidNotRun, this.upstream, term));
    }
}
