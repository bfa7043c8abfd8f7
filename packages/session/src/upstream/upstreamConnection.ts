import { Operation } from "@vanillarouter/base/operation";
import { PreparedStatement } from "../entry/preparedStatement";
import { SessionValues } from "../entry/sessionValues";
import { CommandKind } from "../model/commandKind";
import { TransactionState } from "../model/transactionState";
import { UpstreamCommand } from "../model/upstreamCommand";
import { UpstreamLink } from "../model/upstreamLink";
import { UpstreamResponse } from "../model/upstreamResponse";

/** Setup commands need no statement slot at the upstream, so one that takes longer than this means a lost connection. */
const setupTimeoutMs = 800;

/** Length of the definitions of prepared statements above which a connection is reset before its next use. */
const maxPreparedLength = 262_144;

/** A pooled connection, which tracks the session values and prepared statements that it currently has at the upstream. */
export class UpstreamConnection {
    public idleSince = 0;
    /** Number of times that it was handed to work of its tenant while other work had waited for longer. */
    public passedOverCount = 0;
    private readonly values = new Map<string, string>();
    /** Names of the prepared statements at the upstream, by their definitions. */
    private readonly preparedNames = new Map<string, string>();
    private preparedCount = 0;
    private preparedLength = 0;

    private constructor(public readonly link: UpstreamLink, public readonly tenant: string | undefined) {}

    /** `tenant` is the tenant to which the connection belongs; undefined if it belongs to none. */
    public static create(link: UpstreamLink, tenant?: string): UpstreamConnection {
        return new UpstreamConnection(link, tenant);
    }

    /** Returns the number of commands that are needed to give this connection the session's values. */
    public countSetupCommands(session: SessionValues): number {
        let count = 0;
        for (const name of this.values.keys()) {
            if (!session.values.has(name)) return session.values.size + 1;
        }
        for (const [name, value] of session.values) {
            if (this.values.get(name) !== value) count++;
        }
        return count;
    }

    /**
     * Like `applySession`, for a connection without an open transaction: it is reset first if the prepared statements of earlier
     * sessions are too long together.
     */
    public *takeOver(session: SessionValues): Operation<boolean> {
        if (this.preparedLength > maxPreparedLength) {
            if (!(yield* this.runSetupCommand({ kind: CommandKind.Reset }))) return false;
            this.clearSessionState();
        }
        return yield* this.applySession(session);
    }

    /** Gives the connection exactly the session's values. On failure, closes the connection and returns false. */
    public *applySession(session: SessionValues): Operation<boolean> {
        const hasStaleValue = [...this.values.keys()].some(name => !session.values.has(name));
        if (hasStaleValue && !(yield* this.runSetupCommand({ kind: CommandKind.Reset }))) return false;
        if (hasStaleValue) this.clearSessionState();
        for (const [name, text] of session.values) {
            if (this.values.get(name) === text) continue;
            if (!(yield* this.runSetupCommand({ kind: CommandKind.SetValue, name, text }))) return false;
            this.values.set(name, text);
        }
        return true;
    }

    /**
     * Prepares a statement unless the connection already has it. Returns its name at the upstream, or undefined on failure. Sessions
     * share the connection, so the name is its own: callers' names collide, and a shape may contain spaces.
     */
    public *prepare({ shape, readOnly }: PreparedStatement): Operation<string | undefined> {
        const definition = `${readOnly ? "READ" : "WRITE"} ${shape}`;
        const known = this.preparedNames.get(definition);
        if (known !== undefined) return known;
        const name = `p${++this.preparedCount}`;
        if (!(yield* this.runSetupCommand({ kind: CommandKind.Prepare, name, text: shape, readOnly }))) return undefined;
        this.preparedNames.set(definition, name);
        this.preparedLength += definition.length;
        return name;
    }

    public run(command: UpstreamCommand, timeoutMs: number): Operation<UpstreamResponse | undefined> {
        return this.link.run(command, timeoutMs);
    }

    /** Rolls back an open transaction. Returns whether the connection can be reused. */
    public *rollBack(): Operation<boolean> {
        const response = yield* this.link.run({ kind: CommandKind.Rollback }, setupTimeoutMs);
        if (response !== undefined && response.error === undefined && response.state === TransactionState.Idle) return true;
        this.link.close();
        return false;
    }

    private *runSetupCommand(command: UpstreamCommand): Operation<boolean> {
        const response = yield* this.link.run(command, setupTimeoutMs);
        if (response !== undefined && response.error === undefined) return true;
        this.link.close();
        return false;
    }

    private clearSessionState(): void {
        this.values.clear();
        this.preparedNames.clear();
        this.preparedLength = 0;
    }
}
