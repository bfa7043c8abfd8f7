import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementAnswer } from "@vanillarouter/routing/entry/statementAnswer";
import { StatementRequest } from "@vanillarouter/routing/entry/statementRequest";
import { Result } from "ts-results";
import { ClassLoad } from "./classLoad";
import { FakeFleet } from "./fakeFleet";
import { ServiceCount } from "./serviceCount";

interface Acknowledgement {
    readonly at: number;
    readonly position: number;
    readonly term: number;
}

/** What the ledger knows of a request when it is sent. */
interface SentRequest {
    readonly req: StatementRequest;
    readonly load: ClassLoad;
    readonly isWrite: boolean;
    /** Position of the session's last acknowledged write in the group. */
    readonly ownPosition: number;
    /** Whether it counts for the service of its class. */
    readonly isCounted: boolean;
}

/** Returns the id of the caller's request without the suffix that a blind retry adds. */
function readCallerId(requestId: string): string {
    return requestId.split("#", 1)[0]!;
}

/** Judges every answer by what the fakes recorded, never by what the system under measurement says of itself. */
export class RequestLedger {
    public readonly services = new Map<string, ServiceCount>();
    public mixed = 0;
    /** Reads that missed a write of their own session. */
    public ownWriteMissed = 0;
    /** Reads whose data was older than their class accepts. */
    public tooOld = 0;
    public eligibleReads = 0;
    public replicaReads = 0;
    private readonly acknowledged = new Map<string, Acknowledgement[]>();
    private readonly answeredWrites: { readonly requestId: string; readonly group: string; }[] = [];
    private readonly refused: { readonly requestId: string; readonly group: string; }[] = [];

    private constructor(private readonly fleet: FakeFleet) {
        for (const load of fleet.deployment.loads) this.services.set(load.workClass.name, { sent: 0, served: 0, late: 0, refused: 0, unknown: 0, wrong: 0 });
        for (const group of fleet.deployment.groups) this.acknowledged.set(group.name, []);
    }

    public static create(fleet: FakeFleet): RequestLedger {
        return new RequestLedger(fleet);
    }

    /** Records that a request was sent; one that never ends then counts as not served. */
    public recordSent(className: string): void {
        this.services.get(className)!.sent++;
    }

    /** Records the end of a request and returns the position of the group that an acknowledged write reached. */
    public record(sent: SentRequest, result: Result<StatementAnswer, Failure>): number | undefined {
        const { req, load, isWrite } = sent;
        const service = this.services.get(load.workClass.name)!;
        const elapsedMs = this.fleet.clock.now() - req.arrivedAt;
        const isRight = result.ok && this.judge(sent, result.val);
        if (sent.isCounted) this.count(service, result, isRight, elapsedMs <= load.workClass.targetMs);
        if (result.err) {
            if (isWrite && result.val.outcome === RunOutcome.DidNotRun) this.refused.push({ requestId: req.requestId, group: req.group });
            return undefined;
        }
        if (!isWrite) return undefined;
        this.answeredWrites.push({ requestId: req.requestId, group: req.group });
        return this.acknowledge(req, result.val);
    }

    /** Returns the time of the first acknowledged write of a group after `time` in at least the given term. */
    public findFirstAcknowledgement(group: string, time: number, term: number): number | undefined {
        return this.acknowledged.get(group)!.find(entry => entry.at >= time && entry.term >= term)?.at;
    }

    /** Counts answered writes that the final logs lack, requests executed twice and refused ones that ran. */
    public audit(): { readonly lost: number; readonly doubled: number; readonly refusedButRan: number; } {
        const executions = new Map<string, number>();
        for (const group of this.fleet.deployment.groups) {
            for (const entry of this.fleet.findPrimary(group.name)?.log ?? []) {
                if (entry.requestId === "" || entry.cancelled) continue;
                const id = readCallerId(entry.requestId);
                executions.set(id, (executions.get(id) ?? 0) + 1);
            }
        }
        return {
            lost: this.answeredWrites.filter(write => !executions.has(write.requestId)).length,
            doubled: [...executions.values()].filter(count => count > 1).length,
            refusedButRan: this.refused.filter(write => executions.has(write.requestId)).length,
        };
    }

    private count(service: ServiceCount, result: Result<unknown, Failure>, isRight: boolean, isInTime: boolean): void {
        if (result.ok) {
            if (!isRight) service.wrong++;
            else if (isInTime) service.served++;
            else service.late++;
        }
        else if (result.val.outcome === RunOutcome.DidNotRun) service.refused++;
        else service.unknown++;
    }

    private judge(sent: SentRequest, answer: StatementAnswer): boolean {
        const row = answer.result.rows[0];
        if (sent.isWrite && row === undefined) return true;
        if (row?.[0] !== sent.req.sql) {
            this.mixed++;
            return false;
        }
        return sent.isWrite || this.judgeRead(sent, answer, Number(row[1]));
    }

    private judgeRead(sent: SentRequest, answer: StatementAnswer, position: number): boolean {
        const { maxAgeMs } = sent.load.workClass;
        if (maxAgeMs !== undefined) {
            this.eligibleReads++;
            if (this.fleet.upstreams.get(answer.upstream ?? "")?.isPrimary === false) this.replicaReads++;
        }
        const isOwnSeen = position >= sent.ownPosition;
        const isYoung = position >= this.findPositionAt(sent.req.group, sent.req.arrivedAt - (maxAgeMs ?? 0));
        if (!isOwnSeen) this.ownWriteMissed++;
        if (!isYoung) this.tooOld++;
        return isOwnSeen && isYoung;
    }

    /** Takes the entry of a write from its answer, or from the log if the answer was found by the request's id. */
    private acknowledge(req: StatementRequest, answer: StatementAnswer): number {
        const acknowledged = this.acknowledged.get(req.group)!;
        const primary = this.fleet.findPrimary(req.group)!;
        const recorded = primary.findRecorded(req.requestId) ?? 0;
        const [, positionText = recorded, termText = primary.log[recorded]!.term] = answer.result.rows[0] ?? [];
        const last = acknowledged.at(-1);
        const position = Number(positionText);
        const term = Number(termText);
        acknowledged.push({ at: this.fleet.clock.now(), position: Math.max(position, last?.position ?? 0), term });
        return position;
    }

    /** Returns the highest position acknowledged before `time`. */
    private findPositionAt(group: string, time: number): number {
        const acknowledged = this.acknowledged.get(group)!;
        let low = 0;
        let high = acknowledged.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (acknowledged[middle]!.at < time) low = middle + 1;
            else high = middle;
        }
        return low === 0 ? 0 : acknowledged[low - 1]!.position;
    }
}
