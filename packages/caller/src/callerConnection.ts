import { BudgetedConnection } from "@vanillarouter/base/budgetedConnection";
import { Channel } from "@vanillarouter/base/channel";
import { ConnectionBudget } from "@vanillarouter/base/connectionBudget";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { GarbageCollection } from "@vanillarouter/base/garbageCollection";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Task } from "@vanillarouter/base/task";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { Err, Ok, Result } from "ts-results";
import { CallerCommand } from "./callerCommand";
import { CallerServices } from "./callerServices";
import { checkLoginPacket } from "./checkLoginPacket";
import { CommandCode } from "./commandCode";
import { CommandRunner } from "./commandRunner";
import { ConnectionState } from "./connectionState";
import { Diagnostics } from "./diagnostics";
import { encodeErrorPacket } from "./encodeErrorPacket";
import { encodeOkPacket } from "./encodeOkPacket";
import { findErrorNumber } from "./findErrorNumber";
import { formatCallerError } from "./formatCallerError";
import { InboundPacket } from "./inboundPacket";
import { LoginAttempt } from "./loginAttempt";
import { protocolConstants } from "./protocolConstants";
import { ServerConnection } from "./serverConnection";
import { serverVersion } from "./serverVersion";
import { verifyNativePassword } from "./verifyNativePassword";

const maxPendingCommands = 16;
/** Maximum number of bytes that Node reads from a socket at once. */
const readChunkBytes = 65_536;
/** Bytes of commands that are read ahead, apart from the last one. */
const maxReadAheadBytes = 65_536;
/** Memory that each piece of an incomplete packet takes beside its bytes. */
const bytesPerPiece = 256;
/** Changes of the held bytes that are not reported to the budget. */
const minReportedBytes = 16_384;
/** Copies of a large statement that its decoding and execution make. */
const copiesPerStatement = 3;
/** Time that a caller has to close its side of a connection before the socket is destroyed. */
const closeGraceMs = 1000;
/** Idle time after which the first TCP keep-alive probe is sent. */
const keepAliveMs = 60_000;
const encodingByCharacterSet: ReadonlyMap<string, string> = new Map([
    ["utf8mb4", "utf8"],
    ["utf8mb3", "utf8"],
    ["utf8", "utf8"],
    ["ascii", "ascii"],
    ["latin1", "latin1"],
    ["binary", "latin1"],
]);

/** One connection of a caller, from the handshake until it is closed. No input on it can affect another connection. */
export class CallerConnection implements BudgetedConnection {
    private readonly commands = Channel.create<CallerCommand>();
    private runner: CommandRunner | undefined;
    private task: Task<void> | undefined;
    private cancelLoginTimer: () => void;
    private bytesSinceLastPacket = 0;
    private isClosing = false;
    private queuedBytes = 0;
    private unsentBytes = 0;
    private reportedBytes = 0;
    private isBlocked = false;
    private isPaused = false;
    private isDraining = false;

    private constructor(
        private readonly connection: ServerConnection,
        private readonly services: CallerServices,
        private readonly id: number,
        private readonly createRequestId: () => string,
        private readonly onClosed: (closed: CallerConnection) => void,
        private readonly budget: ConnectionBudget,
    ) {
        const timeoutMs = services.limits.loginTimeoutMs;
        const handleLoginTimeout = (): void => this.closeWithFailure(createFailure(Diagnostics.loginTimedOut, RunOutcome.DidNotRun, timeoutMs));
        this.cancelLoginTimer = services.clock.startTimer(timeoutMs, handleLoginTimeout);
    }

    /** Starts serving a connection that `mysql2` accepted. Calls `onClosed` once when the connection is closed. */
    public static create(
        connection: ServerConnection,
        services: CallerServices,
        id: number,
        createRequestId: () => string,
        onClosed: (closed: CallerConnection) => void,
        budget: ConnectionBudget,
    ): CallerConnection {
        const created = new CallerConnection(connection, services, id, createRequestId, onClosed, budget);
        budget.add(created);
        created.start();
        return created;
    }

    public get remoteAddress(): string {
        return `${this.connection.stream.remoteAddress}:${this.connection.stream.remotePort}`;
    }

    public get isLoggedIn(): boolean {
        return this.runner !== undefined;
    }

    public get isEnded(): boolean {
        return this.isClosing;
    }

    public get isServing(): boolean {
        return this.runner?.isServing === true;
    }

    public get isReceiving(): boolean {
        return this.connection.packetParser.bufferLength > 0 && !this.isPaused;
    }

    public get heldBytes(): number {
        const { buffer, bufferLength } = this.connection.packetParser;
        return bufferLength + buffer.length * bytesPerPiece + this.queuedBytes + this.unsentBytes;
    }

    public get sentWhileWaiting(): number | undefined {
        const { stream } = this.connection;
        return this.isBlocked ? stream.bytesWritten - stream.writableLength : undefined;
    }

    /** Drops at once what the connection holds: the event of a closed stream comes only after the other sockets have been read. */
    public closeForLimit(): void {
        this.isClosing = true;
        this.commands.takeAll();
        this.dropPartialPacket();
        this.task?.cancel();
        this.destroy();
    }

    /** Closes the connection as soon as no statement and no transaction is in progress on it. */
    public drain(): void {
        this.isDraining = true;
        this.closeIfDrained();
    }

    /** Closes the connection immediately and cancels a statement in progress. */
    public destroy(): void {
        this.connection.stream.destroy();
    }

    /**
     * Sends a failure and closes the connection. A caller with a statement in progress reads the failure as the response to it, so the
     * outcome is reported as unknown in that case.
     */
    public closeWithFailure(cause: Failure): void {
        if (this.isClosing) return;
        const failure = this.runner?.isCommandInProgress === true ? { ...cause, outcome: RunOutcome.Unknown } : cause;
        this.services.counters.add("vr_caller_refused_total", `code="${failure.code}"`);
        this.services.logger.info({ connection: this.id, code: failure.code, reason: failure.message }, "caller.refused");
        const isWritable = this.connection.stream.writable;
        if (isWritable) this.connection.writePacket(encodeErrorPacket(findErrorNumber(failure), formatCallerError(failure)));
        this.close();
    }

    private start(): void {
        const { stream } = this.connection;
        stream.setNoDelay(true);
        stream.setKeepAlive(true, keepAliveMs);
        stream.on("close", () => this.handleStreamClosed());
        this.connection.on("error", err => this.services.logger.debug({ connection: this.id, err: String(err) }, "caller.connection_error"));
        const originalHandler = this.connection.handlePacket;
        this.connection.handlePacket = packet => this.handlePacket(packet, originalHandler);
        stream.on("data", chunk => this.limitBufferedBytes(chunk.length));
        this.connection.serverHandshake({
            protocolVersion: protocolConstants.protocolVersion,
            serverVersion,
            connectionId: this.id,
            statusFlags: protocolConstants.statusAutocommit,
            characterSet: protocolConstants.utf8mb4CharacterSet,
            capabilityFlags: protocolConstants.capabilities,
            authCallback: attempt => this.finishLogin(attempt),
        });
    }

    /**
     * Limits the number of bytes that `mysql2` buffers for an incomplete packet. After the login, one whose header states a longer
     * length is refused at once. `mysql2` handles each chunk before this method
     * counts it, so the count may include up to one chunk of packets that are already complete.
     */
    private limitBufferedBytes(count: number): void {
        if (count >= minReportedBytes) GarbageCollection.record(count);
        this.reportHeld();
        this.bytesSinceLastPacket += count;
        const maxBytes = this.runner === undefined ? readChunkBytes : this.services.limits.maxStatementBytes + readChunkBytes;
        const { bufferLength, length } = this.connection.packetParser;
        const isStatedTooLong = this.runner !== undefined && bufferLength > 0 && length > maxBytes;
        if (this.bytesSinceLastPacket <= maxBytes && !isStatedTooLong) return;
        if (this.runner !== undefined) this.connection.sequenceId = 1;
        this.closeWithFailure(createFailure(Diagnostics.statementTooLarge, RunOutcome.DidNotRun, maxBytes - readChunkBytes));
    }

    /**
     * Handles a packet. `mysql2` calls this without a packet to start the handshake. Parsing a malformed packet may throw, in
     * which case only this connection is closed.
     */
    private handlePacket(packet: InboundPacket | undefined, originalHandler: (packet: InboundPacket | undefined) => void): void {
        if (this.isClosing && packet !== undefined) return;
        try {
            if (packet === undefined) originalHandler.call(this.connection, packet);
            else this.dispatchPacket(packet, originalHandler);
        }
        catch (err) {
            const diagnostic = this.runner === undefined ? Diagnostics.malformedLogin : Diagnostics.connectionTaskFailed;
            this.closeWithFailure(createFailure(diagnostic, RunOutcome.DidNotRun, String(err)));
        }
    }

    private dispatchPacket(packet: InboundPacket, originalHandler: (packet: InboundPacket) => void): void {
        this.bytesSinceLastPacket = 0;
        if (packet.sequenceId !== this.connection.sequenceId) {
            this.closeWithFailure(createFailure(Diagnostics.packetOutOfOrder, RunOutcome.DidNotRun, packet.sequenceId, this.connection.sequenceId));
            return;
        }
        if (this.runner !== undefined) this.queueCommand(packet);
        else if (checkLoginPacket(packet)) originalHandler.call(this.connection, packet);
        else this.closeWithFailure(createFailure(Diagnostics.malformedLogin, RunOutcome.DidNotRun));
    }

    /**
     * Queues a command for the runner. The expected sequence id of the next packet stays 0, even while a response is
     * pending, because every command starts with sequence id 0. A response starts with sequence id 1, which is therefore set
     * before each response is written.
     */
    private queueCommand(packet: InboundPacket): void {
        const code = packet.readInt8();
        if (code === CommandCode.Quit) {
            this.close();
            return;
        }
        if (code === CommandCode.StatementClose || code === CommandCode.StatementSendLongData) return;
        if (this.commands.size >= maxPendingCommands) {
            this.connection.sequenceId = 1;
            this.closeWithFailure(createFailure(Diagnostics.tooManyPending, RunOutcome.DidNotRun, maxPendingCommands));
            return;
        }
        const isTooLarge = packet.length() > this.services.limits.maxStatementBytes + protocolConstants.headerBytes;
        const hasText = !isTooLarge && (code === CommandCode.Query || code === CommandCode.InitDatabase);
        const text = hasText ? packet.readString(undefined, this.connection.clientHelloReply?.encoding ?? "utf8") : "";
        const bytes = packet.length();
        if (bytes >= minReportedBytes) GarbageCollection.record(bytes * copiesPerStatement);
        this.queuedBytes += bytes;
        this.commands.send({ code, text, bytes, arrivedAt: this.services.clock.now(), isTooLarge });
        if (this.queuedBytes <= maxReadAheadBytes) return;
        this.isPaused = true;
        this.connection.stream.pause();
    }

    private handleCommandStarted({ bytes }: CallerCommand): void {
        this.queuedBytes -= bytes;
        this.reportHeld();
        if (!this.isPaused || this.queuedBytes > maxReadAheadBytes) return;
        this.isPaused = false;
        this.connection.stream.resume();
    }

    private handleBlocked(): void {
        this.isBlocked = true;
        // Only then is it known how much the operating system did not take.
        setImmediate(() => {
            this.unsentBytes = this.isBlocked ? this.connection.stream.writableLength : 0;
            this.reportHeld();
        });
    }

    private handleResponded(): void {
        this.isBlocked = false;
        this.unsentBytes = 0;
        this.reportHeld();
        this.closeIfDrained();
    }

    private reportHeld(): void {
        const { heldBytes } = this;
        if (Math.abs(heldBytes - this.reportedBytes) < minReportedBytes) return;
        this.reportedBytes = heldBytes;
        this.budget.update(this);
    }

    private finishLogin(attempt: LoginAttempt): void {
        this.cancelLoginTimer();
        const runner = this.logIn(attempt);
        if (runner.err) {
            this.closeWithFailure(runner.val);
            return;
        }
        this.connection.writePacket(encodeOkPacket(0, 0, protocolConstants.statusAutocommit, ""));
        this.connection.sequenceId = 0;
        this.runner = runner.val;
        this.task = Task.start(this.runner.run(this.commands, {
            onStarted: command => this.handleCommandStarted(command),
            onBlocked: () => this.handleBlocked(),
            onResponded: () => this.handleResponded(),
        }));
        this.task.onSettled(() => this.close());
    }

    private logIn(attempt: LoginAttempt): Result<CommandRunner, Failure> {
        const configuration = this.services.configuration.current;
        if (configuration === undefined) return Err(createFailure(RoutingDiagnostics.noConfiguration, RunOutcome.DidNotRun));
        if (this.isDraining) return Err(createFailure(Diagnostics.shuttingDown, RunOutcome.DidNotRun));
        const account = configuration.accounts.get(attempt.user);
        const isAuthenticated = account !== undefined && verifyNativePassword(attempt, account.passwordHash);
        if (!isAuthenticated) return Err(createFailure(Diagnostics.accessDenied, RunOutcome.DidNotRun, attempt.user.slice(0, 64)));
        const encoding = this.connection.clientHelloReply?.encoding;
        // For the character set utf8mb3, `mysql2` reports the encoding `cesu8`.
        const encodingSelected = this.selectEncoding(encoding === "cesu8" ? "utf8" : encoding ?? "");
        if (encodingSelected.err) return encodingSelected;
        const session = this.services.sessionFactory.openSession();
        const state = ConnectionState.create(attempt.user, this.id, session, this.services.configuration, name => this.selectEncoding(name));
        const attributesSet = state.setAttributes(this.connection.clientHelloReply?.connectAttributes ?? {});
        if (attributesSet.err) return attributesSet;
        const database = attempt.database ?? "";
        const databaseSelected = database === "" ? Ok(undefined) : state.selectDatabase(database);
        if (databaseSelected.err) return databaseSelected;
        return Ok(CommandRunner.create(this.connection, this.services, state, session, account.defaultClass, this.createRequestId, this.budget));
    }

    private selectEncoding(name: string): Result<void, Failure> {
        const encoding = encodingByCharacterSet.get(name);
        const { clientHelloReply, serverConfig } = this.connection;
        if (encoding === undefined || clientHelloReply === undefined || serverConfig === undefined) {
            return Err(createFailure(Diagnostics.unsupportedCharacterSet, RunOutcome.DidNotRun, name.slice(0, 40)));
        }
        clientHelloReply.encoding = encoding;
        serverConfig.encoding = encoding;
        return Ok(undefined);
    }

    /**
     * Closes the connection if it is draining and idle. A caller that has already sent its next command reads the failure as
     * the response; that command did not run.
     */
    private closeIfDrained(): void {
        if (!this.isDraining || this.runner?.isIdle === false || this.commands.size > 0) return;
        if (this.runner !== undefined) this.connection.sequenceId = 1;
        this.closeWithFailure(createFailure(Diagnostics.shuttingDown, RunOutcome.DidNotRun));
    }

    /** Closes the connection and discards further input; unread input would cause a TCP reset, which can lose the last response. */
    private close(): void {
        if (this.isClosing) return;
        this.isClosing = true;
        const { stream } = this.connection;
        stream.removeAllListeners("data");
        stream.on("data", chunk => GarbageCollection.record(chunk.length));
        this.dropPartialPacket();
        this.reportHeld();
        stream.resume();
        stream.end();
        const cancelTimer = this.services.clock.startTimer(closeGraceMs, () => stream.destroy());
        stream.on("close", cancelTimer);
    }

    private dropPartialPacket(): void {
        this.connection.packetParser.buffer.length = 0;
        this.connection.packetParser.bufferLength = 0;
    }

    private handleStreamClosed(): void {
        this.isClosing = true;
        this.cancelLoginTimer();
        this.budget.remove(this);
        this.task?.cancel();
        this.onClosed(this);
    }
}
