import { createFailure } from "@vanillarouter/base/createFailure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { readFileSync } from "node:fs";
import { Err, Ok, Result } from "ts-results";
import { z } from "zod";
import { AdministrationClient } from "./administrationClient";
import { ClassOptions } from "./classOptions";
import { CommandFailure } from "./commandFailure";
import { CommandOutput } from "./commandOutput";
import { Diagnostics } from "./diagnostics";
import { ExitCode } from "./exitCode";
import { formatTable } from "./formatTable";

type CommandResult = Result<CommandOutput, CommandFailure>;
type Row = Readonly<Record<string, unknown>>;

/** Code of `itemNotFound` in the diagnostics of packages/operator, on which this package does not depend. */
const itemNotFoundCode = 1606;
const standardInputDescriptor = 0;
const rowsSchema = z.array(z.record(z.string(), z.unknown()));
const itemSchema = z.object({ name: z.string(), changeId: z.string(), value: z.record(z.string(), z.unknown()) });
const schemas = {
    item: itemSchema,
    classes: z.object({ classes: z.array(itemSchema) }),
    groups: z.object({ groups: z.array(z.object({ upstreams: rowsSchema }).loose()) }),
    members: z.object({ members: rowsSchema }),
    changes: z.object({ changes: z.array(z.object({ edits: rowsSchema }).loose()) }),
    receipt: z.object({ changeId: z.string() }),
    object: z.record(z.string(), z.unknown()),
};

/** The commands of `vrctl`. */
export class ControlCommands {
    private constructor(private readonly client: AdministrationClient) {}

    public static create(client: AdministrationClient): ControlCommands {
        return new ControlCommands(client);
    }

    public *listClasses(): Operation<CommandResult> {
        return yield* this.requestAndFormat("/v1/classes", schemas.classes, ({ classes }) => {
            const rows = classes.map(({ name, changeId, value }): Row => ({ ...value, name, changeId }));
            return formatTable(["name", "rank", "targetMs", "maxAgeMs", "readOnly", "changeId"], rows);
        });
    }

    /** Sets the given values of a class and keeps the others. Fails if another change is applied between the read and the write. */
    public *setClass(name: string, options: ClassOptions): Operation<CommandResult> {
        const path = `/v1/classes/${encodeURIComponent(name)}`;
        const currentResponse = yield* this.client.request("GET", path);
        if (currentResponse.err && currentResponse.val.failure.code !== itemNotFoundCode) return currentResponse;
        const currentItem = currentResponse.ok ? schemas.item.safeParse(currentResponse.val) : undefined;
        const { expect, ...newValues } = options;
        // The conversion to JSON and back removes absent options, which would overwrite current values with undefined.
        const value = { readOnly: false, ...currentItem?.data?.value, name, ...JSON.parse(JSON.stringify(newValues)) as Row };
        const receipt = yield* this.client.request("PUT", path, { value, expectedChangeId: expect ?? currentItem?.data?.changeId ?? "" });
        return receipt.andThen(body => createReceiptOutput(body));
    }

    public *deleteClass(name: string, expect: string | undefined): Operation<CommandResult> {
        const query = expect === undefined ? "" : `?expectedChangeId=${encodeURIComponent(expect)}`;
        const receipt = yield* this.client.request("DELETE", `/v1/classes/${encodeURIComponent(name)}${query}`);
        return receipt.andThen(body => createReceiptOutput(body));
    }

    public *readConfiguration(): Operation<CommandResult> {
        return yield* this.requestAndFormat("/v1/config", schemas.object, value => JSON.stringify(value, undefined, 4) + "\n");
    }

    /** Applies the edits in a JSON file, or in standard input if `file` is `-`. */
    public *changeConfiguration(file: string): Operation<CommandResult> {
        let change: unknown;
        try {
            change = JSON.parse(readFileSync(file === "-" ? standardInputDescriptor : file, "utf8"));
        }
        catch (err) {
            const failure = createFailure(Diagnostics.fileInvalid, RunOutcome.DidNotRun, file, err instanceof Error ? err.message : String(err));
            return Err({ failure, exitCode: ExitCode.Usage });
        }
        const receipt = yield* this.client.request("PUT", "/v1/config", change);
        return receipt.andThen(body => createReceiptOutput(body));
    }

    public *readHistory(limit: number): Operation<CommandResult> {
        return yield* this.requestAndFormat(`/v1/config/history?limit=${limit}`, schemas.changes, ({ changes }) => {
            const rows = changes.flatMap(change => change.edits.map((edit): Row => ({ ...change, ...edit })));
            return formatTable(["time", "author", "changeId", "section", "name", "before", "after"], rows);
        });
    }

    public *listGroups(): Operation<CommandResult> {
        return yield* this.requestAndFormat("/v1/groups", schemas.groups, ({ groups }) => {
            const rows = groups.flatMap(group =>
                group.upstreams.map((upstream): Row => ({
                    ...upstream,
                    group: group["name"],
                    term: group["term"],
                    upstream: upstream["id"],
                    role: upstream["id"] === group["primary"] ? "primary" : "replica",
                }))
            );
            return formatTable(["group", "term", "upstream", "role", "zone", "owner", "leaving"], rows);
        });
    }

    public *listMembers(): Operation<CommandResult> {
        return yield* this.requestAndFormat(
            "/v1/members",
            schemas.members,
            ({ members }) => formatTable(["id", "zone", "host", "state", "leaving", "incarnation"], members),
        );
    }

    public *readStatus(): Operation<CommandResult> {
        return yield* this.requestAndFormat("/v1/status", schemas.object, status => {
            return formatTable(["property", "value"], Object.entries(status).map(([property, value]) => ({ property, value })));
        });
    }

    public *drain(): Operation<CommandResult> {
        const response = yield* this.client.request("POST", "/v1/drain");
        return response.map(value => ({ value, text: "the VM is draining\n" }));
    }

    private *requestAndFormat<T>(path: string, schema: z.ZodType<T>, format: (value: T) => string): Operation<CommandResult> {
        const response = yield* this.client.request("GET", path);
        if (response.err) return response;
        const parsed = schema.safeParse(response.val);
        if (parsed.success) return Ok({ value: response.val, text: format(parsed.data) });
        return Err({ failure: createFailure(Diagnostics.responseInvalid, RunOutcome.Unknown, path), exitCode: ExitCode.Failure });
    }
}

function createReceiptOutput(body: unknown): CommandResult {
    const receipt = schemas.receipt.safeParse(body);
    if (receipt.success) return Ok({ value: body, text: `change ${receipt.data.changeId} is stored\n` });
    return Err({
        failure: createFailure(Diagnostics.responseInvalid, RunOutcome.Unknown, "the endpoint for configuration changes"),
        exitCode: ExitCode.Failure,
    });
}
