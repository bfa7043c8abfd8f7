import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { ControlProcedures } from "./controlProcedures";
import { ErrorNumber } from "./errorNumber";
import { GroupError } from "./groupError";
import { GroupLogEntry } from "./groupLogEntry";
import { GroupOperation } from "./groupOperation";
import { GroupStatement } from "./groupStatement";
import { GroupUpstream } from "./groupUpstream";
import { parseGroupStatement } from "./parseGroupStatement";
import { planWrite } from "./planWrite";
import { selectRows } from "./selectRows";
import { StatementHint } from "./statementHint";
import { StatementResponse } from "./statementResponse";

interface OpenTransaction {
    readonly id: string;
    readonly operations: GroupOperation[];
    readonly statements: string[];
    affectedRows: number;
    insertId: number;
}

function formatPosition(at: LogPosition): string {
    return `${at.term}.${at.position}`;
}

/** Executes the statements of one client connection, one after another. */
export class GroupSession {
    private transaction: OpenTransaction | undefined;
    private transactionCount = 0;
    private readonly controlProcedures: ControlProcedures;

    private constructor(private readonly upstream: GroupUpstream, private readonly connectionId: number) {
        this.controlProcedures = ControlProcedures.create(upstream);
    }

    public static create(upstream: GroupUpstream, connectionId: number): GroupSession {
        return new GroupSession(upstream, connectionId);
    }

    /** Executes one statement. Throws a `GroupError` if it is rejected. */
    public async execute(text: string): Promise<StatementResponse> {
        const { hint, sql, statement } = parseGroupStatement(text);
        if (statement === undefined) throw GroupError.create(ErrorNumber.ParseError, `statement is not supported by the stand-in: ${sql.slice(0, 80)}`);
        if (statement.kind === "call") return this.controlProcedures.run(statement.name, statement.args, hint, this.connectionId);
        try {
            this.checkPreconditions(statement, hint);
        }
        catch (err) {
            if (statement.kind === "commit") this.transaction = undefined;
            throw err;
        }
        await this.upstream.slots.acquire();
        try {
            const delayMs = this.upstream.faults.statementMs;
            if (delayMs > 0) await new Promise(resolve => setTimeout(resolve, delayMs));
            return this.executeInSlot(statement, hint, sql);
        }
        finally {
            this.upstream.slots.release();
        }
    }

    /** Checks made before the wait for a slot. Most of them are repeated in the slot, because the upstream's role and log may change meanwhile. */
    private checkPreconditions(statement: GroupStatement, hint: StatementHint): void {
        const isRead = statement.kind === "select" || statement.kind === "constant";
        if (isRead) this.checkFloor(hint);
        else if (statement.kind !== "rollback") this.checkPrimary(hint);
        if (hint.requestId !== undefined && !isRead) this.rejectRecordedRequest(hint.requestId);
    }

    private executeInSlot(statement: GroupStatement, hint: StatementHint, sql: string): StatementResponse {
        switch (statement.kind) {
            case "select":
            case "constant":
                return this.read(statement, hint, sql);
            case "begin":
                return this.begin(hint, sql);
            case "commit":
                return this.commit(hint, sql);
            case "rollback":
                return this.rollback(sql);
            case "call":
                throw new Error("procedure calls are executed without a slot");
            default:
                return this.write(statement, hint, sql);
        }
    }

    private read(statement: GroupStatement & { kind: "select" | "constant"; }, hint: StatementHint, sql: string): StatementResponse {
        this.checkFloor(hint);
        const at = formatPosition(this.upstream.member.appliedPosition);
        const result = statement.kind === "constant"
            ? { columns: [String(statement.value)], rows: [[statement.value]] }
            : selectRows(statement, this.upstream.member.tables, this.transaction?.operations ?? []);
        this.recordExecution(this.transaction === undefined ? "read" : "statement", sql, at, undefined, true);
        return { columns: [...result.columns, "vr_at"], rows: result.rows.map(row => [...row, at]) };
    }

    private write(
        statement: GroupStatement & { kind: "insertOrder" | "insertStock" | "addStock" | "setStock"; },
        hint: StatementHint,
        sql: string,
    ): StatementResponse {
        this.checkPrimary(hint);
        if (hint.requestId !== undefined) this.rejectRecordedRequest(hint.requestId);
        const pending = this.transaction?.operations ?? [];
        const plan = planWrite(statement, this.upstream.member.tables, pending);
        if (this.transaction !== undefined) {
            this.transaction.operations.push(...plan.operations);
            this.transaction.statements.push(sql);
            this.transaction.affectedRows += plan.affectedRows;
            this.transaction.insertId = plan.insertId;
            this.recordExecution("statement", sql, formatPosition(this.upstream.member.log.lastPosition));
            return { affectedRows: plan.affectedRows, insertId: plan.insertId, info: "" };
        }
        const entry = this.upstream.member.append({ requestId: hint.requestId, ...plan, statements: [sql] });
        this.recordExecution("write", sql, formatPosition(entry), hint.requestId);
        return this.createWriteResponse(entry);
    }

    private begin(hint: StatementHint, sql: string): StatementResponse {
        this.checkPrimary(hint);
        this.transaction = { id: `${this.connectionId}-${++this.transactionCount}`, operations: [], statements: [], affectedRows: 0, insertId: 0 };
        this.recordExecution("begin", sql, formatPosition(this.upstream.member.log.lastPosition));
        return { affectedRows: 0, insertId: 0, info: "" };
    }

    private commit(hint: StatementHint, sql: string): StatementResponse {
        const transaction = this.transaction;
        this.transaction = undefined;
        this.checkPrimary(hint);
        if (hint.requestId !== undefined) this.rejectRecordedRequest(hint.requestId);
        const { operations = [], statements = [], affectedRows = 0, insertId = 0 } = transaction ?? {};
        const entry = this.upstream.member.append({
            requestId: hint.requestId,
            operations,
            statements,
            transaction: transaction?.id,
            affectedRows,
            insertId,
        });
        this.recordExecution("commit", sql, formatPosition(entry), hint.requestId, false, transaction?.id);
        return this.createWriteResponse(entry);
    }

    private rollback(sql: string): StatementResponse {
        this.recordExecution("rollback", sql, formatPosition(this.upstream.member.log.lastPosition));
        this.transaction = undefined;
        return { affectedRows: 0, insertId: 0, info: "" };
    }

    private createWriteResponse(entry: GroupLogEntry): StatementResponse {
        return { affectedRows: entry.affectedRows, insertId: entry.insertId, info: `vr_at=${formatPosition(entry)}` };
    }

    private checkPrimary(hint: StatementHint): void {
        const member = this.upstream.member;
        if (!member.isPrimary || (hint.term !== undefined && hint.term !== member.acceptedTerm)) throw member.createTermError();
    }

    private rejectRecordedRequest(requestId: string): void {
        const entry = this.upstream.member.log.findByRequestId(requestId);
        if (entry === undefined) return;
        const outcome = `cancelled=${entry.cancelled === true ? 1 : 0} at=${formatPosition(entry)}`;
        throw GroupError.create(ErrorNumber.Signal, `vr_known ${outcome} affected=${entry.affectedRows} insert_id=${entry.insertId}`);
    }

    private checkFloor(hint: StatementHint): void {
        const applied = this.upstream.member.appliedPosition;
        if (hint.floor === undefined || compareLogPositions(applied, hint.floor) >= 0) return;
        throw GroupError.create(ErrorNumber.Signal, `vr_floor applied=${formatPosition(applied)}`);
    }

    private recordExecution(
        kind: "read" | "write" | "begin" | "statement" | "commit" | "rollback",
        sql: string,
        at: string,
        requestId?: string,
        isRead = false,
        transaction = this.transaction?.id,
    ): void {
        const role = this.upstream.member.isPrimary ? "primary" : "replica";
        this.upstream.record.add({ kind, connection: this.connectionId, transaction, requestId, sql, role, at }, isRead);
    }
}
