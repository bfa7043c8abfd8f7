import { ConfigurationSource } from "@vanillarouter/base/configurationSource";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { CallerSession } from "@vanillarouter/routing/entry/callerSession";
import { Err, Ok, Result } from "ts-results";
import { CallerVariables } from "./callerVariables";
import { Diagnostics } from "./diagnostics";
import { Hint } from "./hint";
import { HintDraft } from "./hintDraft";
import { mergeHints } from "./mergeHints";
import { SessionSwitch } from "./sessionSwitch";

const variablePrefix = "vr_";
const noHint: Hint = HintDraft.create();
const attributeKeys = ["class", "franchisee", "session", "token", "deadline"];
const wordVariables = new Set(["once", "repeatable"]);
const variableKeys = new Set([...attributeKeys, "req", ...wordVariables]);

/** What a logged-in caller connection has selected and set. */
export class ConnectionState implements CallerVariables {
    private attributeHint: Hint = noHint;
    private variableHint: Hint = noHint;
    /** What was said of the connection as a whole. */
    private connectionHint: Hint = noHint;
    private readonly variables = new Map<string, string>();
    private readonly sessions: SessionSwitch;

    private constructor(
        public readonly user: string,
        public readonly connectionId: number,
        public database: string,
        private readonly session: CallerSession,
        private readonly configuration: ConfigurationSource,
        private readonly selectEncoding: (name: string) => Result<void, Failure>,
    ) {
        this.sessions = SessionSwitch.create(session);
    }

    /** `selectEncoding` changes the character set of the connection. */
    public static create(
        user: string,
        connectionId: number,
        session: CallerSession,
        configuration: ConfigurationSource,
        selectEncoding: (name: string) => Result<void, Failure>,
    ): ConnectionState {
        return new ConnectionState(user, connectionId, "", session, configuration, selectEncoding);
    }

    public get token(): string {
        return this.session.token;
    }

    public get databases(): readonly string[] {
        return [...(this.configuration.current?.groups.keys() ?? [])];
    }

    /** Takes the values of connection attributes such as `vr_class`. */
    public setAttributes(attributes: Readonly<Record<string, string>>): Result<void, Failure> {
        const hint = HintDraft.create();
        for (const key of attributeKeys) {
            const value = attributes[variablePrefix + key];
            if (value === undefined || value === "") continue;
            const fault = hint.set(key, value);
            if (fault !== undefined) return Err(fault);
        }
        this.attributeHint = hint;
        return this.selectHome();
    }

    public findUserVariable(name: string): string | undefined {
        return this.variables.get(name);
    }

    public setUserVariable(name: string, value: string | undefined): Result<void, Failure> {
        const key = name.startsWith(variablePrefix) ? name.slice(variablePrefix.length) : "";
        if (!variableKeys.has(key)) return Err(createFailure(Diagnostics.unknownVariable, RunOutcome.DidNotRun, `@${name.slice(0, 40)}`));
        const previous = this.variables.get(name);
        this.replaceVariable(name, wordVariables.has(key) && value === "0" ? undefined : value);
        const hint = this.readVariables();
        if (hint.err) {
            this.replaceVariable(name, previous);
            return hint;
        }
        const before = this.variableHint;
        this.variableHint = hint.val;
        const selected = this.selectHome();
        if (selected.err) {
            this.replaceVariable(name, previous);
            this.variableHint = before;
            this.selectHome();
        }
        return selected;
    }

    public selectDatabase(name: string): Result<void, Failure> {
        if (this.configuration.current?.groups.has(name) !== true) return Err(createFailure(RoutingDiagnostics.unknownGroup, RunOutcome.DidNotRun, name));
        if (this.session.inTransaction && name !== this.database) {
            return Err(createFailure(Diagnostics.unsupportedStatement, RunOutcome.DidNotRun, "another database inside a transaction"));
        }
        this.database = name;
        return Ok(undefined);
    }

    public selectCharacterSet(name: string): Result<void, Failure> {
        return this.selectEncoding(name);
    }

    /** Combines what the caller said of the statement and of the connection. */
    public resolveHint(statementHint: Hint): Hint {
        return mergeHints(statementHint, this.connectionHint);
    }

    /** Forgets a request id that was set as variable; it counts for one statement only. */
    public consumeRequestId(): void {
        if (this.variables.has("vr_req")) this.setUserVariable("vr_req", undefined);
    }

    /** Makes the session of a statement the current one and takes over the floors of its tokens. */
    public attach(hint: Hint): Result<void, Failure> {
        return this.sessions.select(hint.session, hint.token);
    }

    /** Forgets what was set by statements, as a client asks for when its pool hands the connection on. */
    public reset(): void {
        this.variables.clear();
        this.variableHint = noHint;
        this.selectHome();
    }

    /** Applies the session of the connection, so that a token which is not authentic is refused where it is given. */
    private selectHome(): Result<void, Failure> {
        this.connectionHint = mergeHints(this.attributeHint, this.variableHint);
        this.sessions.setHome(this.connectionHint.session);
        return this.attach(this.connectionHint);
    }

    private replaceVariable(name: string, value: string | undefined): void {
        if (value === undefined) this.variables.delete(name);
        else this.variables.set(name, value);
    }

    private readVariables(): Result<Hint, Failure> {
        const hint = HintDraft.create();
        for (const [name, value] of this.variables) {
            const key = name.slice(variablePrefix.length);
            const fault = hint.set(key, wordVariables.has(key) ? "" : value);
            if (fault !== undefined) return Err(fault);
        }
        return Ok(hint);
    }
}
