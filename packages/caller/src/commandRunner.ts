import { Channel } from "@vanillarouter/base/channel";
import { ConnectionBudget } from "@vanillarouter/base/connectionBudget";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { CallerSession } from "@vanillarouter/routing/entry/callerSession";
import { classifyStatement } from "@vanillarouter/routing/entry/classifyStatement";
import { StatementKind } from "@vanillarouter/routing/entry/statementKind";
import { StatementRequest } from "@vanillarouter/routing/entry/statementRequest";
import { StatementResponse } from "@vanillarouter/routing/entry/statementResponse";
import { Err, Ok, Result } from "ts-results";
import { CallerCommand } from "./callerCommand";
import { CallerServices } from "./callerServices";
import { CommandCode } from "./commandCode";
import { CommandObserver } from "./commandObserver";
import { ConnectionState } from "./connectionState";
import { createTextResult } from "./createTextResult";
import { Diagnostics } from "./diagnostics";
import { encodeErrorPacket } from "./encodeErrorPacket";
import { executeLocally } from "./executeLocally";
import { findErrorNumber } from "./findErrorNumber";
import { formatCallerError } from "./formatCallerError";
import { Hint } from "./hint";
import { isRead } from "./isRead";
import { parseHintComment } from "./parseHintComment";
import { protocolConstants } from "./protocolConstants";
import { ServerConnection } from "./serverConnection";
import { writeResult } from "./writeResult";

const emptyResponse: StatementResponse = { result: createTextResult([], []) };

/** Runs the commands of a logged-in connection one after another and writes their responses. */
export class CommandRunner {
    private hasCommandInProgress = false;
    private isServingCommand = false;
    /** A BEGIN received before a database was selected. It runs before the first statement that is sent to an upstream after the selection. */
    private deferredBegin: string | undefined;

    private constructor(
        private readonly connection: ServerConnection,
        private readonly services: CallerServices,
        private readonly state: ConnectionState,
        private readonly session: CallerSession,
        private readonly defaultClassAtLogin: string,
        private readonly createRequestId: () => string,
        private readonly budget: ConnectionBudget,
    ) {}

    /** `defaultClassAtLogin` is the default class of the account at login. */
    public static create(
        connection: ServerConnection,
        services: CallerServices,
        state: ConnectionState,
        session: CallerSession,
        defaultClassAtLogin: string,
        createRequestId: () => string,
        budget: ConnectionBudget,
    ): CommandRunner {
        return new CommandRunner(connection, services, state, session, defaultClassAtLogin, createRequestId, budget);
    }

    /** Whether a command is in progress. */
    public get isCommandInProgress(): boolean {
        return this.hasCommandInProgress;
    }

    /** Whether a command is executed, and neither waits nor has its response. */
    public get isServing(): boolean {
        return this.isServingCommand;
    }

    /** Whether neither a command nor a transaction is in progress. */
    public get isIdle(): boolean {
        return !this.hasCommandInProgress && !this.inTransaction;
    }

    /** Runs commands until cancelled, or until a command throws an unexpected error. */
    public *run(commands: Channel<CallerCommand>, observer: CommandObserver): Operation<void> {
        try {
            let canContinue = true;
            while (canContinue) {
                const command = yield* commands.receive();
                this.hasCommandInProgress = true;
                canContinue = yield* this.runWhenAdmitted(command, observer);
                if (canContinue && this.connection.stream.writableNeedDrain) {
                    observer.onBlocked();
                    yield* this.waitUntilWritable();
                }
                this.hasCommandInProgress = false;
                observer.onResponded();
            }
        }
        finally {
            yield* this.session.close();
        }
    }

    /** Waits until the budget admits the command. Returns whether the connection can run further commands. */
    private *runWhenAdmitted(command: CallerCommand, observer: CommandObserver): Operation<boolean> {
        const countedBytes = yield* this.budget.startServing(command.bytes);
        try {
            this.isServingCommand = true;
            observer.onStarted(command);
            return yield* this.runAndRespond(command);
        }
        finally {
            this.isServingCommand = false;
            this.budget.finishServing(countedBytes);
        }
    }

    /** Returns whether the connection can run further commands. */
    private *runAndRespond(command: CallerCommand): Operation<boolean> {
        try {
            const response = yield* this.runCommand(command);
            this.writeResponse(command, response);
            return true;
        }
        catch (err) {
            const failure = createFailure(Diagnostics.connectionTaskFailed, RunOutcome.Unknown, String(err));
            this.services.logger.error({ code: failure.code, err: err instanceof Error ? err.stack : String(err) }, "caller.task_failed");
            this.writeResponse(command, Err(failure));
            return false;
        }
    }

    private *runCommand(command: CallerCommand): Operation<Result<StatementResponse, Failure>> {
        if (command.isTooLarge) {
            return Err(createFailure(Diagnostics.statementTooLarge, RunOutcome.DidNotRun, this.services.limits.maxStatementBytes));
        }
        switch (command.code) {
            case CommandCode.Query:
                return yield* this.runStatement(command);
            case CommandCode.InitDatabase:
                return this.state.selectDatabase(command.text).map(() => emptyResponse);
            case CommandCode.Ping:
            case CommandCode.SetOption:
                return Ok(emptyResponse);
            case CommandCode.ResetConnection:
                return yield* this.resetConnection(command);
            default:
                return Err(createFailure(Diagnostics.unsupportedCommand, RunOutcome.DidNotRun, command.code));
        }
    }

    private *resetConnection(command: CallerCommand): Operation<Result<StatementResponse, Failure>> {
        const { arrivedAt } = command;
        const response = this.session.inTransaction
            ? yield* this.session.execute(this.createRequest(this.state.resolveHint({}), "ROLLBACK", arrivedAt))
            : Ok(emptyResponse);
        this.deferredBegin = undefined;
        if (response.ok) this.state.reset();
        return response;
    }

    private *runStatement(command: CallerCommand): Operation<Result<StatementResponse, Failure>> {
        const parsed = parseHintComment(command.text);
        if (parsed.err) return parsed;
        const { sql } = parsed.val;
        const classFailure = this.checkClassName(parsed.val.hint);
        if (classFailure !== undefined) return Err(classFailure);
        const hint = this.state.resolveHint(parsed.val.hint);
        const sessionSelected = this.state.selectSession(hint);
        if (sessionSelected.err) return sessionSelected;
        const local = executeLocally(this.state, sql);
        if (local !== undefined) return local.map((result: StatementResult): StatementResponse => ({ result }));
        if (this.state.database === "") return this.runWithoutDatabase(sql);
        if (this.deferredBegin !== undefined) {
            const begun = yield* this.session.execute(this.createRequest(hint, this.deferredBegin, command.arrivedAt));
            if (begun.err) return begun;
            this.deferredBegin = undefined;
        }
        const req = this.createRequest(hint, sql, command.arrivedAt);
        this.state.consumeRequestId();
        return yield* this.session.execute(req);
    }

    /** Runs a statement while no database is selected. Client libraries may begin a transaction before they select a database. */
    private runWithoutDatabase(sql: string): Result<StatementResponse, Failure> {
        switch (classifyStatement(sql)) {
            case StatementKind.Begin:
                this.deferredBegin = sql;
                return Ok(emptyResponse);
            case StatementKind.Commit:
            case StatementKind.Rollback:
                this.deferredBegin = undefined;
                return Ok(emptyResponse);
            default:
                return Err(createFailure(Diagnostics.noDatabaseSelected, RunOutcome.DidNotRun));
        }
    }

    private get inTransaction(): boolean {
        return this.session.inTransaction || this.deferredBegin !== undefined;
    }

    /** Returns a failure if the hint names an unknown class. Also applies to statements that are executed without an upstream. */
    private checkClassName({ className }: Hint): Failure | undefined {
        const classes = this.services.configuration.current?.classes;
        if (className === undefined || classes === undefined || classes.has(className)) return undefined;
        return createFailure(RoutingDiagnostics.unknownClass, RunOutcome.DidNotRun, className);
    }

    /**
     * Creates the request for a statement. A request id from a caller is unique only within a franchisee and is therefore
     * prefixed with it; generated ids are globally unique.
     */
    private createRequest(hint: Hint, sql: string, arrivedAt: number): StatementRequest {
        const { user, database } = this.state;
        const defaultClass = this.services.configuration.current?.accounts.get(user)?.defaultClass ?? this.defaultClassAtLogin;
        const franchisee = hint.franchisee ?? user;
        const requestId = hint.requestId === undefined ? this.createRequestId() : `${encodeURIComponent(franchisee)}:${hint.requestId}`;
        return {
            requestId,
            className: hint.className ?? defaultClass,
            franchisee,
            group: database,
            sql,
            arrivedAt,
            timeoutMs: hint.timeoutMs,
            repeatable: hint.repeatable ?? isRead(sql),
            isRetry: hint.isRetry,
        };
    }

    private writeResponse(command: CallerCommand, response: Result<StatementResponse, Failure>): void {
        const { connection } = this;
        if (!connection.stream.writable) return;
        connection.stream.cork();
        connection.sequenceId = 1;
        if (response.err) this.writeFailure(response.val);
        // Clients expect an EOF packet as the response to a set-option command.
        else if (command.code === CommandCode.SetOption) connection.writeEof(0, this.statusFlags);
        else writeResult(connection, response.val.result, this.statusFlags, formatInfo(response.val));
        connection.sequenceId = 0;
        connection.stream.uncork();
    }

    private writeFailure(failure: Failure): void {
        this.services.counters.add("vr_caller_failures_total", `code="${failure.code}",outcome="${failure.outcome}"`);
        this.connection.writePacket(encodeErrorPacket(findErrorNumber(failure), formatCallerError(failure)));
    }

    private get statusFlags(): number {
        return protocolConstants.statusAutocommit | (this.inTransaction ? protocolConstants.statusInTransaction : 0);
    }

    /** Waits until the socket's write buffer has drained, so that a caller that does not read its responses cannot exhaust memory. */
    private waitUntilWritable(): Operation<void> {
        const { stream } = this.connection;
        return perform<void>({
            start: resume => {
                const listener = (): void => resume();
                stream.once("drain", listener);
                return () => stream.off("drain", listener);
            },
        });
    }
}

function formatInfo(response: StatementResponse): string {
    const { info } = response.result;
    if (response.token === undefined) return info;
    return `${info === "" ? "" : `${info} `}vr_token=${response.token}`;
}
