import { readFileSync } from "node:fs";
import { Err, Ok, Result } from "ts-results";
import { ZodType } from "zod";
import { createFailure } from "./createFailure";
import { Diagnostics } from "./diagnostics";
import { Failure } from "./failure";
import { RunOutcome } from "./runOutcome";

/** Reads a JSON settings file and validates it against a schema. The failure lists every validation error with its path. */
export function readSettings<T>(file: string, schema: ZodType<T>): Result<T, Failure> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (err) {
        return Err(createFailure(Diagnostics.settingsNotReadable, RunOutcome.DidNotRun, file, String(err)));
    }
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (err) {
        return Err(createFailure(Diagnostics.settingsNotJson, RunOutcome.DidNotRun, file, String(err)));
    }
    const parsed = schema.safeParse(value);
    if (parsed.success) return Ok(parsed.data);
    const validationErrors = parsed.error.issues.map(issue => `${issue.path.join(".") || "(top)"}: ${issue.message}`);
    return Err(createFailure(Diagnostics.settingsInvalid, RunOutcome.DidNotRun, file, validationErrors.length, validationErrors.join("; ")));
}
