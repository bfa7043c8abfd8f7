import { LogPosition } from "@vanillarouter/base/logPosition";
import { ErrorNumber } from "./errorNumber";
import { GroupError } from "./groupError";
import { GroupLogEntry } from "./groupLogEntry";
import { GroupUpstream } from "./groupUpstream";
import { StatementHint } from "./statementHint";
import { StatementResponse } from "./statementResponse";

type Arguments = readonly (string | number | undefined)[];

const statusColumns = [
    "upstream",
    "role",
    "accepted_term",
    "received_term",
    "received_position",
    "applied_term",
    "applied_position",
    "primary_id",
    "primary_silence_ms",
    "leaving",
    "held",
];
const outcomeColumns = ["cancelled", "term", "position", "affected_rows", "insert_id"];

/** Runs the `CALL vr_...` procedures of an upstream. They take no slot, so they also run while all slots are busy. */
export class ControlProcedures {
    private constructor(private readonly upstream: GroupUpstream) {}

    public static create(upstream: GroupUpstream): ControlProcedures {
        return new ControlProcedures(upstream);
    }

    public async run(name: string, args: Arguments, hint: StatementHint, connectionId: number): Promise<StatementResponse> {
        const member = this.upstream.member;
        if (name === "vr_status") return this.createStatusResponse(false);
        if (name === "vr_accept_term") return this.acceptTerm(Number(args[0]));
        if (name === "vr_lookup") return this.createOutcomeResponse(member.log.findByRequestId(String(args[0])));
        if (name === "vr_cancel") return this.createOutcomeResponse(this.cancel(String(args[0]), hint, connectionId));
        if (name === "vr_wait_received") return this.waitUntilReceived({ term: Number(args[0]), position: Number(args[1]) }, Number(args[2]));
        if (name === "vr_promote") member.promote(Number(args[0]));
        else if (name === "vr_follow") member.follow(Number(args[0]), String(args[1]));
        else throw GroupError.create(ErrorNumber.ParseError, `procedure ${name} does not exist`);
        return this.createStatusResponse(false);
    }

    /** `held` is the result of `vr_wait_received`: whether the log contains the requested log entry. It is false for all other procedures. */
    private createStatusResponse(held: boolean): StatementResponse {
        const member = this.upstream.member;
        const received = member.log.lastPosition;
        const applied = member.appliedPosition;
        const row = [
            member.id,
            member.isPrimary ? "primary" : "replica",
            member.acceptedTerm,
            received.term,
            received.position,
            applied.term,
            applied.position,
            member.primary,
            member.primarySilenceMs,
            this.upstream.faults.leaving ? 1 : 0,
            held ? 1 : 0,
        ];
        return { columns: statusColumns, rows: [row] };
    }

    private acceptTerm(term: number): StatementResponse {
        const member = this.upstream.member;
        const accepted = member.acceptTerm(term);
        const { term: lastTerm, position } = member.log.lastPosition;
        return {
            columns: ["accepted", "accepted_term", "received_term", "received_position"],
            rows: [[accepted ? 1 : 0, member.acceptedTerm, lastTerm, position]],
        };
    }

    private cancel(requestId: string, hint: StatementHint, connectionId: number): GroupLogEntry {
        const member = this.upstream.member;
        if (!member.isPrimary || (hint.term !== undefined && hint.term !== member.acceptedTerm)) throw member.createTermError();
        const recorded = member.log.findByRequestId(requestId);
        if (recorded !== undefined) return recorded;
        const entry = member.append({ requestId, cancelled: true, operations: [], statements: [], affectedRows: 0, insertId: 0 });
        const at = `${entry.term}.${entry.position}`;
        this.upstream.record.add({ kind: "cancel", connection: connectionId, requestId, sql: "", role: "primary", at }, false);
        return entry;
    }

    private createOutcomeResponse(entry: GroupLogEntry | undefined): StatementResponse {
        if (entry === undefined) return { columns: outcomeColumns, rows: [] };
        return { columns: outcomeColumns, rows: [[entry.cancelled === true ? 1 : 0, entry.term, entry.position, entry.affectedRows, entry.insertId]] };
    }

    /**
     * Waits until the log contains the entry and then responds with `held` 1. Responds with `held` 0 after `waitMs`, or once a
     * newer term has been accepted, because the primary of the entry's term can no longer deliver the entry.
     */
    private async waitUntilReceived(entry: LogPosition, waitMs: number): Promise<StatementResponse> {
        const member = this.upstream.member;
        const isDecided = (): boolean => member.log.contains(entry) || member.acceptedTerm > entry.term;
        if (!isDecided()) {
            await new Promise<void>(resolve => {
                const finish = (): void => {
                    clearTimeout(timer);
                    removeListener();
                    resolve();
                };
                const timer = setTimeout(finish, waitMs);
                const removeListener = member.onChange(() => {
                    if (isDecided()) finish();
                });
            });
        }
        return this.createStatusResponse(member.log.contains(entry));
    }
}
