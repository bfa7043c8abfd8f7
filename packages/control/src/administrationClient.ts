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

interface HttpResponse {
    readonly status: number;
    readonly text: string;
}

const errorSchema = z.object({
    error: z.object({ code: z.number(), message: z.string(), outcome: z.enum(RunOutcome), details: z.unknown().optional() }),
});
const exitCodeByStatus: ReadonlyMap<number, ExitCode> = new Map([[409, ExitCode.Conflict], [503, ExitCode.Unreachable]]);

/** Client of the administration API of one VM. */
export class AdministrationClient {
    private constructor(private readonly options: ConnectionOptions) {}

    public static create(options: ConnectionOptions): AdministrationClient {
        return new AdministrationClient(options);
    }

    /** Sends a request and returns the parsed JSON body of the response. */
    public *request(method: string, path: string, body?: unknown): Operation<Result<unknown, CommandFailure>> {
        const response = yield* fromPromise(this.send(method, path, body));
        if (response.err) return Err({ failure: response.val, exitCode: ExitCode.Unreachable });
        const value = parseJson(response.val.text);
        if (response.val.status < 300 && value !== undefined) return Ok(value);
        const parsedError = errorSchema.safeParse(value);
        const failure = parsedError.success
            ? parsedError.data.error
            : createFailure(Diagnostics.responseInvalid, RunOutcome.Unknown, `${this.options.address}${path}`);
        return Err({ failure, exitCode: exitCodeByStatus.get(response.val.status) ?? ExitCode.Failure });
    }

    private async send(method: string, path: string, body: unknown): Promise<Result<HttpResponse, Failure>> {
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

function parseJson(json: string): unknown {
    try {
        return JSON.parse(json);
    }
    catch {
        return undefined;
    }
}
