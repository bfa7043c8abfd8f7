import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { fromPromise } from "@vanillarouter/base/fromPromise";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Err, Ok, Result } from "ts-results";
import { z } from "zod";
import { CommandFailure } from "./commandFailure";
import { ConnectionOptions } from "./connectionOptions";
import { Diagnostics } from "./diagnostics";
import { ExitCode } from "./exitCode";

interface HttpAnswer {
    readonly status: number;
    readonly text: string;
}

const errorSchema = z.object({
    error: z.object({ code: z.number(), message: z.string(), outcome: z.enum(RunOutcome), details: z.unknown().optional() }),
});
const exitCodes: ReadonlyMap<number, ExitCode> = new Map([[409, ExitCode.Conflict], [503, ExitCode.Unreachable]]);

/** Client of the administration API of one VM. */
export class AdministrationClient {
    private constructor(private readonly options: ConnectionOptions) {}

    public static create(options: ConnectionOptions): AdministrationClient {
        return new AdministrationClient(options);
    }

    /** Sends a request and returns the JSON of its answer. */
    public *request(method: string, path: string, body?: unknown): Operation<Result<unknown, CommandFailure>> {
        const answer = yield* fromPromise(this.send(method, path, body));
        if (answer.err) return Err({ failure: answer.val, exitCode: ExitCode.Unreachable });
        const value = parseJson(answer.val.text);
        if (answer.val.status < 300 && value !== undefined) return Ok(value);
        const known = errorSchema.safeParse(value);
        const failure = known.success
            ? known.data.error
            : createFailure(Diagnostics.answerInvalid, RunOutcome.Unknown, `${this.options.address}${path}`);
        return Err({ failure, exitCode: exitCodes.get(answer.val.status) ?? ExitCode.Failure });
    }

    private async send(method: string, path: string, body: unknown): Promise<Result<HttpAnswer, Failure>> {
        const { address, credential, author, timeoutMs } = this.options;
        try {
            const res = await fetch(new URL(path, address), {
                method,
                body: body === undefined ? undefined : JSON.stringify(body),
                headers: { "authorization": `Bearer ${credential}`, "content-type": "application/json", "vr-author": author },
                signal: AbortSignal.timeout(timeoutMs),
            });
            return Ok({ status: res.status, text: await res.text() });
        }
        catch (err) {
            const cause = err instanceof Error && err.cause instanceof Error ? err.cause.message : String(err);
            return Err(createFailure(Diagnostics.vmUnreachable, RunOutcome.Unknown, address, cause));
        }
    }
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
