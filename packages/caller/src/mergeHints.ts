import { Hint } from "./hint";

/**
 * Merges two hints; the specific one takes precedence. The general token is used only if both hints refer to the same
 * session: the token of another session would be taken for a complete record of this session's writes.
 */
export function mergeHints(specific: Hint, general: Hint): Hint {
    const isSameSession = specific.session === undefined || specific.session === general.session;
    return {
        className: specific.className ?? general.className,
        franchisee: specific.franchisee ?? general.franchisee,
        session: specific.session ?? general.session,
        token: specific.token ?? (isSameSession ? general.token : undefined),
        requestId: specific.requestId ?? general.requestId,
        timeoutMs: specific.timeoutMs ?? general.timeoutMs,
        repeatable: specific.repeatable ?? general.repeatable,
        isRetry: specific.isRetry ?? general.isRetry,
    };
}
