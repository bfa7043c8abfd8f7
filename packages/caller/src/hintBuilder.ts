import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Diagnostics } from "./diagnostics";
import { Hint } from "./hint";

const namePattern = /^[\w.:@-]{1,64}$/;
const tokenPattern = /^[\w.:=~+/,-]{1,4096}$/;
const deadlinePattern = /^\d{1,8}$/;
const maxDeadlineMs = 86_400_000;
const maxShownLength = 40;

/** A hint whose values are set one by one. One object with all fields is cheaper than a copy per value. */
export class HintBuilder implements Hint {
    public className: string | undefined = undefined;
    public franchisee: string | undefined = undefined;
    public session: string | undefined = undefined;
    public token: string | undefined = undefined;
    public requestId: string | undefined = undefined;
    public timeoutMs: number | undefined = undefined;
    public repeatable: boolean | undefined = undefined;
    public isRetry: boolean | undefined = undefined;

    private constructor() {}

    public static create(): HintBuilder {
        return new HintBuilder();
    }

    /**
     * Sets one value. `key` is the key used in hint comments, such as `class`; `value` is "" for flags such as `once`. Returns
     * a failure if the key or value is invalid, otherwise undefined.
     */
    public set(key: string, value: string): Failure | undefined {
        const isSet = value === "" ? this.setFlag(key) : this.setValue(key, value);
        if (isSet) return undefined;
        const shown = key === "token" || value === "" ? key : `${key}=${value}`;
        return createFailure(Diagnostics.malformedHint, RunOutcome.DidNotRun, shown.slice(0, maxShownLength));
    }

    private setFlag(key: string): boolean {
        if (key === "once") this.repeatable = false;
        else if (key === "repeatable") this.repeatable = true;
        else if (key === "retry") this.isRetry = true;
        else return false;
        return true;
    }

    private setValue(key: string, value: string): boolean {
        if (key === "deadline") return this.setDeadline(value);
        if (!(key === "token" ? tokenPattern : namePattern).test(value)) return false;
        if (key === "token") this.token = value;
        else if (key === "class") this.className = value;
        else if (key === "franchisee") this.franchisee = value;
        else if (key === "session") this.session = value;
        else if (key === "req") this.requestId = value;
        else return false;
        return true;
    }

    private setDeadline(value: string): boolean {
        const timeoutMs = Number(value);
        if (!deadlinePattern.test(value) || timeoutMs < 1 || timeoutMs > maxDeadlineMs) return false;
        this.timeoutMs = timeoutMs;
        return true;
    }
}
