import { Failure } from "@vanillarouter/base/failure";
import { CallerSession } from "@vanillarouter/routing/entry/callerSession";
import { Ok, Result } from "ts-results";

const tokenSeparator = ",";
/** Name of the session that a connection has of its own; callers cannot name it. */
const ownName = "(own)";

/**
 * Selects which session the statements of a connection belong to. Statements may name other sessions; on the way back to
 * the connection's home session, all that it has written is still known.
 */
export class SessionSwitch {
    private current = ownName;
    private passedToken: string | undefined;
    private home = ownName;
    /** Token of the home session when a statement left it. */
    private homeToken: string | undefined;

    private constructor(private readonly session: CallerSession) {}

    public static create(session: CallerSession): SessionSwitch {
        return new SessionSwitch(session);
    }

    /** Sets the session that statements belong to which name none. */
    public setHome(name: string | undefined): void {
        const home = name ?? ownName;
        if (home === this.home) return;
        this.home = home;
        this.homeToken = undefined;
    }

    /**
     * Selects a session and takes over the floors of its tokens. Statements that overlap return tokens that do not know of
     * each other, so a caller passes all of them, separated by commas, until one answer covers them.
     */
    public select(name: string | undefined, token: string | undefined): Result<void, Failure> {
        const target = name ?? this.home;
        if (target === this.current && (token === undefined || token === this.passedToken)) return Ok(undefined);
        if (this.current === this.home && target !== this.home) this.homeToken = this.session.token;
        for (const part of this.listTokens(target, token)) {
            const attached = this.session.attach({ name: target, token: part });
            if (attached.err) return attached;
            this.current = target;
        }
        this.passedToken = token;
        return Ok(undefined);
    }

    private listTokens(target: string, token: string | undefined): readonly (string | undefined)[] {
        const passed = token?.split(tokenSeparator) ?? [];
        const isReturning = target === this.home && target !== this.current && this.homeToken !== undefined;
        const tokens = isReturning ? [this.homeToken, ...passed] : passed;
        return tokens.length === 0 ? [undefined] : tokens;
    }
}
