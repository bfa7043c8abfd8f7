import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "./diagnostics";
import { Hint } from "./hint";

const namePattern = /^[\w.:@-]{1,64}$/;
const tokenPattern = /^[\w.:=~+/,-]{1,4096}$/;
const longestDeadlineMs = 86_400_000;
const maxShownLength = 40;

function refuse(text: string): Result<Hint, Failure> {
    return Err(createFailure(Diagnostics.malformedHint, RunOutcome.DidNotRun, text.slice(0, maxShownLength)));
}

function addDeadline(hint: Hint, value: string): Result<Hint, Failure> {
    const timeoutMs = Number(value);
    if (!/^\d{1,8}$/.test(value) || timeoutMs < 1 || timeoutMs > longestDeadlineMs) return refuse(`deadline=${value}`);
    return Ok({ ...hint, timeoutMs });
}

/** Adds one value to a hint. `key` is the word used in comments, such as `class`; words without a value get "". */
export function addHintValue(hint: Hint, key: string, value: string): Result<Hint, Failure> {
    if (key === "once" && value === "") return Ok({ ...hint, repeatable: false });
    if (key === "repeatable" && value === "") return Ok({ ...hint, repeatable: true });
    if (key === "retry" && value === "") return Ok({ ...hint, isRetry: true });
    if (key === "deadline") return addDeadline(hint, value);
    if (key === "token") return tokenPattern.test(value) ? Ok({ ...hint, token: value }) : refuse("token");
    if (!namePattern.test(value)) return refuse(`${key}=${value}`);
    if (key === "class") return Ok({ ...hint, className: value });
    if (key === "franchisee") return Ok({ ...hint, franchisee: value });
    if (key === "session") return Ok({ ...hint, session: value });
    if (key === "req") return Ok({ ...hint, requestId: value });
    return refuse(key);
}
