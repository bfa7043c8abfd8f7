import { ConfigurationSource } from "@vanillarouter/base/configurationSource";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { CallerSession } from "@vanillarouter/routing/callerSession";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { Err, Ok, Result } from "ts-results";
import { addHintValue } from "./addHintValue";
import { CallerVariables } from "./callerVariables";
import { Diagnostics } from "./diagnostics";
import { Hint } from "./hint";

const variablePrefix = "vr_";
const tokenSeparator = ",";
const attributeKeys = ["class", "franchisee", "session", "token", "deadline"];
const wordVariables = new Set(["once", "repeatable"]);
const variableKeys = new Set([...attributeKeys, "req", ...wordVariables]);

/** What a logged-in caller connection has selected and set. */
export class ConnectionState implements CallerVariables {
    private attributeHint: Hint = {};
    private variableHint: Hint = {};
    private readonly variables = new Map<string, string>();
    private attachedName: string | undefined;
    private attachedToken: string | undefined;

    private constructor(
        public readonly user: string,
        public readonly connectionId: number,
        public database: string,
        private readonly session: CallerSession,
        private readonly configuration: ConfigurationSource,
        private readonly selectEncoding: (name: string) => Result<void, Failure>,
    ) {}

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
        for (const key of attributeKeys) {
            const value = attributes[variablePrefix + key];
            if (value === undefined || value === "") continue;
            const added = addHintValue(this.attributeHint, key, value);
            if (added.err) return added;
            this.attributeHint = added.val;
        }
        return Ok(undefined);
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
        this.variableHint = hint.val;
        return Ok(undefined);
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

    /** Combines what the caller said, most specific first. A request id set as variable counts for one statement only. */
    public resolveHint(statementHint: Hint): Hint {
        const resolved = { ...this.variableHint, ...this.attributeHint, ...statementHint };
        if (this.variables.has("vr_req")) this.setUserVariable("vr_req", undefined);
        return resolved;
    }

    /**
     * Makes the session of a statement the current one and takes over the floors of its tokens. Statements that overlap
     * return tokens that do not know of each other, so a caller passes all of them until one answer covers them.
     */
    public attach(hint: Hint): Result<void, Failure> {
        const isCurrent = (hint.session === undefined || hint.session === this.attachedName)
            && (hint.token === undefined || hint.token === this.attachedToken);
        if (isCurrent) return Ok(undefined);
        for (const token of hint.token?.split(tokenSeparator) ?? [undefined]) {
            const attached = this.session.attach({ name: hint.session, token });
            if (attached.err) return attached;
        }
        this.attachedName = hint.session ?? this.attachedName;
        this.attachedToken = hint.token ?? this.attachedToken;
        return Ok(undefined);
    }

    /** Forgets what was set by statements, as a client asks for when its pool hands the connection on. */
    public reset(): void {
        this.variables.clear();
        this.variableHint = {};
    }

    private replaceVariable(name: string, value: string | undefined): void {
        if (value === undefined) this.variables.delete(name);
        else this.variables.set(name, value);
    }

    private readVariables(): Result<Hint, Failure> {
        let hint: Hint = {};
        for (const [name, value] of this.variables) {
            const key = name.slice(variablePrefix.length);
            const added = addHintValue(hint, key, wordVariables.has(key) ? "" : value);
            if (added.err) return added;
            hint = added.val;
        }
        return Ok(hint);
    }
}
