import { createFailure } from "@vanillarouter/base/createFailure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { readFileSync } from "node:fs";
import { Err, Ok, Result } from "ts-results";
import { z } from "zod";
import { AdministrationClient } from "./administrationClient";
import { ClassFlags } from "./classFlags";
import { CommandFailure } from "./commandFailure";
import { CommandOutput } from "./commandOutput";
import { Diagnostics } from "./diagnostics";
import { ExitCode } from "./exitCode";
import { formatTable } from "./formatTable";

type Output = Result<CommandOutput, CommandFailure>;
type Row = Readonly<Record<string, unknown>>;

const notFoundCode = 1606;
const standardInput = 0;
const rows = z.array(z.record(z.string(), z.unknown()));
const item = z.object({ name: z.string(), changeId: z.string(), value: z.record(z.string(), z.unknown()) });
const schemas = {
    item,
    classes: z.object({ classes: z.array(item) }),
    groups: z.object({ groups: z.array(z.object({ upstreams: rows }).loose()) }),
    members: z.object({ members: rows }),
    changes: z.object({ changes: z.array(z.object({ edits: rows }).loose()) }),
    receipt: z.object({ changeId: z.string() }),
    row: z.record(z.string(), z.unknown()),
};

/** The commands of `vrctl`. */
export class ControlCommands {
    private constructor(private readonly client: AdministrationClient) {}

    public static create(client: AdministrationClient): ControlCommands {
        return new ControlCommands(client);
    }

    public *listClasses(): Operation<Output> {
        return yield* this.show("/v1/classes", schemas.classes, ({ classes }) => {
            const lines = classes.map(({ name, changeId, value }): Row => ({ ...value, name, changeId }));
            return formatTable(["name", "rank", "targetMs", "maxAgeMs", "readOnly", "changeId"], lines);
        });
    }

    /** Sets the given flags of a class and keeps its other values; fails if another change comes in between. */
    public *setClass(name: string, flags: ClassFlags): Operation<Output> {
        const path = `/v1/classes/${encodeURIComponent(name)}`;
        const present = yield* this.client.request("GET", path);
        if (present.err && present.val.failure.code !== notFoundCode) return present;
        const found = present.ok ? schemas.item.safeParse(present.val) : undefined;
        const { expect, ...given } = flags;
        const value = { readOnly: false, ...found?.data?.value, name, ...JSON.parse(JSON.stringify(given)) as Row };
        const receipt = yield* this.client.request("PUT", path, { value, expectedChangeId: expect ?? found?.data?.changeId ?? "" });
        return receipt.andThen(body => formatReceipt(body));
    }

    public *deleteClass(name: string, expect: string | undefined): Operation<Output> {
        const query = expect === undefined ? "" : `?expectedChangeId=${encodeURIComponent(expect)}`;
        const receipt = yield* this.client.request("DELETE", `/v1/classes/${encodeURIComponent(name)}${query}`);
        return receipt.andThen(body => formatReceipt(body));
    }

    public *readConfiguration(): Operation<Output> {
        return yield* this.show("/v1/config", schemas.row, value => JSON.stringify(value, undefined, 4) + "\n");
    }

    /** Applies the edits of a JSON file; `-` reads standard input. */
    public *changeConfiguration(file: string): Operation<Output> {
        let change: unknown;
        try {
            change = JSON.parse(readFileSync(file === "-" ? standardInput : file, "utf8"));
        }
        catch (err) {
            const failure = createFailure(Diagnostics.fileInvalid, RunOutcome.DidNotRun, file, err instanceof Error ? err.message : String(err));
            return Err({ failure, exitCode: ExitCode.Usage });
        }
        const receipt = yield* this.client.request("PUT", "/v1/config", change);
        return receipt.andThen(body => formatReceipt(body));
    }

    public *readHistory(limit: number): Operation<Output> {
        return yield* this.show(`/v1/config/history?limit=${limit}`, schemas.changes, ({ changes }) => {
            const lines = changes.flatMap(change => change.edits.map((edit): Row => ({ ...change, ...edit })));
            return formatTable(["time", "author", "changeId", "section", "name", "before", "after"], lines);
        });
    }

    public *listGroups(): Operation<Output> {
        return yield* this.show("/v1/groups", schemas.groups, ({ groups }) => {
            const lines = groups.flatMap(group =>
                group.upstreams.map((upstream): Row => ({
                    ...upstream,
                    group: group["name"],
                    term: group["term"],
                    upstream: upstream["id"],
                    role: upstream["id"] === group["primary"] ? "primary" : "replica",
                }))
            );
            return formatTable(["group", "term", "upstream", "role", "zone", "owner", "leaving"], lines);
        });
    }

    public *listMembers(): Operation<Output> {
        return yield* this.show(
            "/v1/members",
            schemas.members,
            ({ members }) => formatTable(["id", "zone", "host", "state", "leaving", "incarnation"], members),
        );
    }

    public *readStatus(): Operation<Output> {
        return yield* this.show("/v1/status", schemas.row, status => {
            return formatTable(["property", "value"], Object.entries(status).map(([property, value]) => ({ property, value })));
        });
    }

    public *drain(): Operation<Output> {
        const answer = yield* this.client.request("POST", "/v1/drain");
        return answer.map(value => ({ value, text: "the VM is draining\n" }));
    }

    private *show<T>(path: string, schema: z.ZodType<T>, format: (value: T) => string): Operation<Output> {
        const answer = yield* this.client.request("GET", path);
        if (answer.err) return answer;
        const parsed = schema.safeParse(answer.val);
        if (parsed.success) return Ok({ value: answer.val, text: format(parsed.data) });
        return Err({ failure: createFailure(Diagnostics.answerInvalid, RunOutcome.Unknown, path), exitCode: ExitCode.Failure });
    }
}

function formatReceipt(body: unknown): Output {
    const receipt = schemas.receipt.safeParse(body);
    if (receipt.success) return Ok({ value: body, text: `change ${receipt.data.changeId} is stored\n` });
    return Err({ failure: createFailure(Diagnostics.answerInvalid, RunOutcome.Unknown, "the change"), exitCode: ExitCode.Failure });
}
