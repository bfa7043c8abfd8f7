import { Failure } from "@vanillarouter/base/failure";
import { CallerSession } from "@vanillarouter/routing/entry/callerSession";
import { Ok, Result } from "ts-results";

const tokenSeparator = ",";
/** Name of the implicit session of a connection. It is not a valid name in a hint, so callers cannot select it. */
const implicitSessionName = "(own)";

/**
 * Selects the session that the statements of a connection belong to. A statement may name another session; when the
 * connection returns to its default session, that session's floors are restored. A floor is the log entry of a database group
 * that an upstream must have applied before it may serve the session's reads.
 */
export class SessionSelector {
    private currentName = implicitSessionName;
    private lastToken: string | undefined;
    private defaultName = implicitSessionName;
    /** Token of the default session, saved when a statement selected another session. */
    private savedDefaultToken: string | undefined;

    private constructor(private readonly session: CallerSession) {}

    public static create(session: CallerSession): SessionSelector {
        return new SessionSelector(session);
    }

    /** Sets the session for statements that do not name one. */
    public setDefault(name: string | undefined): void {
        const newDefault = name ?? implicitSessionName;
        if (newDefault === this.defaultName) return;
        this.defaultName = newDefault;
        this.savedDefaultToken = undefined;
    }

    /**
     * Selects a session and merges the floors of the given tokens. The tokens of overlapping statements do not include each
     * other's writes, so a caller passes all of them, separated by commas, until it gets a token that covers them.
     */
    public select(name: string | undefined, token: string | undefined): Result<void, Failure> {
        const sessionName = name ?? this.defaultName;
        if (sessionName === this.currentName && (token === undefined || token === this.lastToken)) return Ok(undefined);
        if (this.currentName === this.defaultName && sessionName !== this.defaultName) this.savedDefaultToken = this.session.token;
        for (const part of this.listTokens(sessionName, token)) {
            const attached = this.session.attach({ name: sessionName, token: part });
            if (attached.err) return attached;
            this.currentName = sessionName;
        }
        this.lastToken = token;
        return Ok(undefined);
    }

    private listTokens(sessionName: string, token: string | undefined): readonly (string | undefined)[] {
        const passed = token?.split(tokenSeparator) ?? [];
        const isReturning = sessionName === this.defaultName && sessionName !== this.currentName && this.savedDefaultToken !== undefined;
        const tokens = isReturning ? [this.savedDefaultToken, ...passed] : passed;
        return tokens.length === 0 ? [undefined] : tokens;
    }
}
