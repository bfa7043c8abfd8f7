import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { PreparedStatement } from "../entry/preparedStatement";
import { CommandKind } from "../model/commandKind";
import { ErrorKind } from "../model/errorKind";
import { TransactionState } from "../model/transactionState";
import { UpstreamCommand } from "../model/upstreamCommand";
import { UpstreamResponse } from "../model/upstreamResponse";
import { UpstreamStatus } from "../model/upstreamStatus";
import { FakeExecution } from "./fakeExecution";
import { FakeStatement } from "./fakeStatement";

interface ItemWrite {
    readonly item: string;
    readonly value: string;
}

/** State of one connection at a fake upstream. */
interface ServerSession {
    state: TransactionState;
    /** Name given at login, to which the connection belongs. */
    user: string | undefined;
    pendingWrites: ItemWrite[];
    /** Number of transactions that have begun on the connection. */
    transactionCount: number;
    readonly connection: number;
    readonly values: Map<string, string>;
    readonly prepared: Map<string, PreparedStatement>;
}

/** An in-memory upstream of a fake database group. Each log entry has the id of the statement that wrote it. */
export class FakeUpstreamServer {
    public isPrimary = false;
    public term = 1;
    public fenceTerm = 0;
    public readonly log: { readonly at: LogPosition; readonly id: string; readonly writes: readonly ItemWrite[]; }[] = [];
    /** Ids of the statements that ran, in order of execution. */
    public readonly executedIds: string[] = [];
    /** Whether log entries are replicated to and from this upstream. */
    public isReplicating = true;
    /** Whether the upstream neither runs commands nor responds. */
    public isUnresponsive = false;
    /** Whether the upstream runs commands without responding to them. */
    public losesResponses = false;
    /** Execution time of statements in milliseconds, to simulate load from other VMs. */
    public executionMs = 0;
    /** Whether new connections are refused immediately. */
    public refusesDials = false;
    /** Errors that the next statements return, one for each. */
    public nextErrors: ErrorKind[] = [];
    /** New connections beyond this number are refused with `TooManyConnections`. */
    public maxConnections = Number.POSITIVE_INFINITY;
    /** Tenants of statements by their ids; undefined for callers without a tenant. Statements without an entry are not checked. */
    public readonly tenantsById = new Map<string, string | undefined>();
    /** Ids of the statements that were refused because they came on a connection of another tenant. */
    public readonly foreignIds: string[] = [];
    /** Open connections of VMs. */
    public readonly sessions = new Set<ServerSession>();
    /** Called after each statement that ran without an error. */
    public onExecuted: (execution: FakeExecution) => void = () => undefined;
    private connectionCount = 0;

    private constructor(public readonly id: string, private readonly replicate: (from: FakeUpstreamServer) => void) {}

    public static create(id: string, replicate: (from: FakeUpstreamServer) => void): FakeUpstreamServer {
        return new FakeUpstreamServer(id, replicate);
    }

    public get position(): LogPosition {
        return this.log.at(-1)?.at ?? { term: 1, position: 0 };
    }

    public get status(): UpstreamStatus {
        return { isPrimary: this.isPrimary, term: this.term, received: this.position, fenceTerm: this.fenceTerm, lagMs: 0, busySlots: 0, connections: 1 };
    }

    public createSession(user?: string): ServerSession {
        const connection = ++this.connectionCount;
        return { state: TransactionState.Idle, user, pendingWrites: [], transactionCount: 0, connection, values: new Map(), prepared: new Map() };
    }

    /** Runs one command of a connection. */
    public run(session: ServerSession, command: UpstreamCommand): UpstreamResponse {
        const error = command.kind === CommandKind.Forward || command.kind === CommandKind.Begin
            ? this.nextErrors.shift() ?? this.findError(session, command)
            : undefined;
        if (error !== undefined) {
            if (session.state === TransactionState.Open) session.state = TransactionState.Failed;
            return this.createResponse(session, error);
        }
        if (command.kind === CommandKind.Forward) return this.execute(session, command.id!, this.decode(session, command));
        this.apply(session, command);
        return this.createResponse(session, undefined, "-");
    }

    private decode(session: ServerSession, command: UpstreamCommand): FakeStatement {
        return FakeStatement.create(command.text!, session.prepared, command.preparedName);
    }

    private execute(session: ServerSession, id: string, statement: FakeStatement): UpstreamResponse {
        const { state, user, connection, transactionCount, values } = session;
        this.executedIds.push(id);
        this.runStatement(session, id, statement);
        const rows = statement.isRead ? this.findValue(statement.item) : [];
        const transaction = state === TransactionState.Open ? `${this.id}/${connection}/${transactionCount}` : undefined;
        this.onExecuted({ upstreamId: this.id, user, id, text: statement.text, prepared: statement.prepared, values: new Map(values), transaction, rows });
        return this.createResponse(session, undefined, `${this.id}/${id}`, rows);
    }

    private findError(session: ServerSession, command: UpstreamCommand): ErrorKind | undefined {
        if (command.floor !== undefined && compareLogPositions(this.position, command.floor) < 0) return ErrorKind.Lagging;
        if (command.kind === CommandKind.Begin) return this.isPrimary || command.readOnly === true ? undefined : ErrorKind.ReadOnly;
        if (this.tenantsById.has(command.id!) && this.tenantsById.get(command.id!) !== session.user) {
            this.foreignIds.push(command.id!);
            return ErrorKind.Failed;
        }
        const statement = this.decode(session, command);
        if (statement.isUnknown) return ErrorKind.NoStatement;
        const isWritingCommit = statement.isCommit && session.pendingWrites.length > 0;
        return !this.isPrimary && (statement.isWrite || isWritingCommit) ? ErrorKind.ReadOnly : undefined;
    }

    private apply(session: ServerSession, command: UpstreamCommand): void {
        switch (command.kind) {
            case CommandKind.Begin:
                session.state = TransactionState.Open;
                session.transactionCount++;
                return;
            case CommandKind.Rollback:
                this.endTransaction(session);
                return;
            case CommandKind.Reset:
                session.values.clear();
                session.prepared.clear();
                return;
            case CommandKind.SetValue:
                session.values.set(command.name!, command.text!);
                return;
            case CommandKind.Prepare:
                session.prepared.set(command.name!, { shape: command.text!, readOnly: command.readOnly === true });
                return;
            case CommandKind.Fence:
                if (command.term! > this.term && !this.isPrimary) this.fenceTerm = command.term!;
                return;
            case CommandKind.Demote:
                if (command.term! > this.term) this.isPrimary = false;
        }
    }

    private runStatement(session: ServerSession, id: string, { isWrite, isCommit, item, value }: FakeStatement): void {
        if (isWrite) {
            if (session.state === TransactionState.Open) session.pendingWrites.push({ item, value });
            else this.append(id, [{ item, value }]);
        }
        if (!isCommit) return;
        if (session.pendingWrites.length > 0) this.append(id, session.pendingWrites);
        this.endTransaction(session);
    }

    private endTransaction(session: ServerSession): void {
        session.state = TransactionState.Idle;
        session.pendingWrites = [];
    }

    private append(id: string, writes: readonly ItemWrite[]): void {
        this.log.push({ at: { term: this.term, position: this.position.position + 1 }, id, writes });
        this.replicate(this);
    }

    /** Returns the last committed value of an item as a single row; no row if it was never written. */
    private findValue(item: string): readonly string[] {
        for (let index = this.log.length - 1; index >= 0; index--) {
            const write = this.log[index]!.writes.findLast(itemWrite => itemWrite.item === item);
            if (write !== undefined) return [write.value];
        }
        return [];
    }

    private createResponse(session: ServerSession, error: ErrorKind | undefined, receipt?: string, rows: readonly string[] = []): UpstreamResponse {
        return { rows, receipt: error === undefined ? receipt : undefined, error, errorText: error ?? "", state: session.state, applied: this.position };
    }
}
