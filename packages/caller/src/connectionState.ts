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
import { HintBuilder } from "./hintBuilder";
import { mergeHints } from "./mergeHints";
import { SessionSelector } from "./sessionSelector";

const variablePrefix = "vr_";
const emptyHint: Hint = HintBuilder.create();
const attributeHintKeys = ["class", "franchisee", "session", "token", "deadline"];
const flagKeys = new Set(["once", "repeatable"]);
const variableHintKeys = new Set([...attributeHintKeys, "req", ...flagKeys]);

/** The state of a logged-in caller connection: database, variables, connection attributes and session. */
export class ConnectionState implements CallerVariables {
    private attributeHint: Hint = emptyHint;
    private variableHint: Hint = emptyHint;
    /** Hint for all statements of the connection: attributes take precedence over variables. */
    private connectionHint: Hint = emptyHint;
    private readonly variables = new Map<string, string>();
    private readonly sessionSelector: SessionSelector;

    private constructor(
        public readonly user: string,
        public readonly connectionId: number,
        public database: string,
        private readonly session: CallerSession,
        private readonly configuration: ConfigurationSource,
        private readonly selectEncoding: (name: string) => Result<void, Failure>,
    ) {
        this.sessionSelector = SessionSelector.create(session);
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

    /** Applies connection attributes such as `vr_class`. */
    public setAttributes(attributes: Readonly<Record<string, string>>): Result<void, Failure> {
        const hint = HintBuilder.create();
        for (const key of attributeHintKeys) {
            const value = attributes[variablePrefix + key];
            if (value === undefined || value === "") continue;
            const failure = hint.set(key, value);
            if (failure !== undefined) return Err(failure);
        }
        this.attributeHint = hint;
        return this.applyConnectionHint();
    }

    public findUserVariable(name: string): string | undefined {
        return this.variables.get(name);
    }

    public setUserVariable(name: string, value: string | undefined): Result<void, Failure> {
        const key = name.startsWith(variablePrefix) ? name.slice(variablePrefix.length) : "";
        if (!variableHintKeys.has(key)) return Err(createFailure(Diagnostics.unknownVariable, RunOutcome.DidNotRun, `@${name.slice(0, 40)}`));
        const previousValue = this.variables.get(name);
        this.replaceVariable(name, flagKeys.has(key) && value === "0" ? undefined : value);
        const hint = this.parseVariables();
        if (hint.err) {
            this.replaceVariable(name, previousValue);
            return hint;
        }
        const previousHint = this.variableHint;
        this.variableHint = hint.val;
        const selected = this.applyConnectionHint();
        if (selected.err) {
            this.replaceVariable(name, previousValue);
            this.variableHint = previousHint;
            this.applyConnectionHint();
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

    /** Merges the hint of a statement with that of the connection. The statement's takes precedence. */
    public resolveHint(statementHint: Hint): Hint {
        return mergeHints(statementHint, this.connectionHint);
    }

    /** Clears a request id that was set as a variable; it applies to one statement only. */
    public consumeRequestId(): void {
        if (this.variables.has("vr_req")) this.setUserVariable("vr_req", undefined);
    }

    /** Switches to the session of a statement and merges the floors from its tokens into that session. */
    public selectSession(hint: Hint): Result<void, Failure> {
        return this.sessionSelector.select(hint.session, hint.token);
    }

    /** Clears all variables set by statements. Connection pools request this before they reuse a connection. */
    public reset(): void {
        this.variables.clear();
        this.variableHint = emptyHint;
        this.applyConnectionHint();
    }

    /** Recomputes the connection's hint and selects its session, so that a token that is not authentic is rejected as soon as it is set. */
    private applyConnectionHint(): Result<void, Failure> {
        this.connectionHint = mergeHints(this.attributeHint, this.variableHint);
        this.sessionSelector.setDefault(this.connectionHint.session);
        return this.selectSession(this.connectionHint);
    }

    private replaceVariable(name: string, value: string | undefined): void {
        if (value === undefined) this.variables.delete(name);
        else this.variables.set(name, value);
    }

    private parseVariables(): Result<Hint, Failure> {
        const hint = HintBuilder.create();
        for (const [name, value] of this.variables) {
            const key = name.slice(variablePrefix.length);
            const failure = hint.set(key, flagKeys.has(key) ? "" : value);
            if (failure !== undefined) return Err(failure);
        }
        return Ok(hint);
    }
}
