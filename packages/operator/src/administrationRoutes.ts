import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { formatMetrics } from "@vanillarouter/base/formatMetrics";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { ConfigurationEdit } from "@vanillarouter/platform/configurationEdit";
import { ConfigurationSection } from "@vanillarouter/platform/configurationSection";
import { Err, Ok, Result } from "ts-results";
import { ZodType } from "zod";
import { ApiRequest } from "./apiRequest";
import { ApiResponse } from "./apiResponse";
import { ConfigurationWriter } from "./configurationWriter";
import { Diagnostics } from "./diagnostics";
import { requestSchemas } from "./requestSchemas";
import { VmView } from "./vmView";

type HandlerResult = Result<ApiResponse, Failure>;
type Handler = (req: ApiRequest) => Operation<HandlerResult>;

const defaultHistoryLength = 50;
const metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

/** The routes of the administration API. */
export class AdministrationRoutes {
    /** Handlers by path and method. */
    private readonly routes: ReadonlyMap<string, Readonly<Record<string, Handler>>>;

    private constructor(private readonly view: VmView, private readonly writer: ConfigurationWriter) {
        this.routes = new Map<string, Readonly<Record<string, Handler>>>([
            ["metrics", { GET: () => this.readMetrics() }],
            ["v1/classes", { GET: () => this.listClasses() }],
            ["v1/classes/*", { GET: req => this.readClass(req), PUT: req => this.putClass(req), DELETE: req => this.deleteClass(req) }],
            ["v1/config", { GET: () => this.readConfiguration(), PUT: req => this.changeConfiguration(req) }],
            ["v1/config/history", { GET: req => this.readHistory(req) }],
            ["v1/groups", { GET: () => this.respondOk({ groups: this.view.describeGroups() }) }],
            ["v1/members", { GET: () => this.respondOk({ members: this.view.describeMembers() }) }],
            ["v1/status", { GET: () => this.respondOk(this.view.describeStatus()) }],
            ["v1/drain", { POST: () => this.drain() }],
        ]);
    }

    public static create(view: VmView, writer: ConfigurationWriter): AdministrationRoutes {
        return new AdministrationRoutes(view, writer);
    }

    /** Passes a request to the handler of its path and method. Returns the response, or a failure with a result code. */
    public *dispatch(req: ApiRequest): Operation<HandlerResult> {
        const path = req.path.join("/");
        const isClassPath = req.path.length === 3 && path.startsWith("v1/classes/");
        const methods = this.routes.get(isClassPath ? "v1/classes/*" : path);
        if (methods === undefined) return Err(createFailure(Diagnostics.routeNotFound, RunOutcome.DidNotRun, `/${path.slice(0, 100)}`));
        const handler = Object.hasOwn(methods, req.method) ? methods[req.method] : undefined;
        if (handler === undefined) return Err(createFailure(Diagnostics.methodNotAllowed, RunOutcome.DidNotRun, req.method, `/${path}`));
        return yield* handler(req);
    }

    private *respondOk(body: unknown): Operation<HandlerResult> {
        return Ok({ status: 200, body });
    }

    private *readMetrics(): Operation<HandlerResult> {
        return Ok({ status: 200, body: formatMetrics(this.view.collectMetrics()), contentType: metricsContentType });
    }

    private *drain(): Operation<HandlerResult> {
        this.view.startDrain();
        return Ok({ status: 202, body: { draining: true } });
    }

    private *listClasses(): Operation<HandlerResult> {
        const version = this.view.configurationVersion;
        if (version === undefined) return Err(createFailure(Diagnostics.noConfiguration, RunOutcome.DidNotRun));
        return Ok({ status: 200, body: { version, classes: this.view.listItems(ConfigurationSection.Classes) } });
    }

    private *readClass(req: ApiRequest): Operation<HandlerResult> {
        if (this.view.configurationVersion === undefined) return Err(createFailure(Diagnostics.noConfiguration, RunOutcome.DidNotRun));
        const name = req.path[2]!;
        const classItem = this.view.listItems(ConfigurationSection.Classes).find(item => item.name === name);
        if (classItem === undefined) return Err(createFailure(Diagnostics.itemNotFound, RunOutcome.DidNotRun, "class", name.slice(0, 64)));
        return Ok({ status: 200, body: classItem });
    }

    private *putClass(req: ApiRequest): Operation<HandlerResult> {
        const body = parseInput(requestSchemas.classEdit, req.body);
        if (body.err) return body;
        const { value, expectedChangeId } = body.val;
        return yield* this.applyEdits(req, [{ section: ConfigurationSection.Classes, name: req.path[2]!, value, expectedChangeId }]);
    }

    private *deleteClass(req: ApiRequest): Operation<HandlerResult> {
        const expectedChangeId = req.query.get("expectedChangeId") ?? undefined;
        return yield* this.applyEdits(req, [{ section: ConfigurationSection.Classes, name: req.path[2]!, expectedChangeId }]);
    }

    private *readConfiguration(): Operation<HandlerResult> {
        const version = this.view.configurationVersion;
        if (version === undefined) return Err(createFailure(Diagnostics.noConfiguration, RunOutcome.DidNotRun));
        const sections = Object.values(ConfigurationSection).map(section => [section, this.view.listItems(section)] as const);
        return Ok({ status: 200, body: { version, ...Object.fromEntries(sections) } });
    }

    private *changeConfiguration(req: ApiRequest): Operation<HandlerResult> {
        const body = parseInput(requestSchemas.change, req.body);
        return body.err ? body : yield* this.applyEdits(req, body.val.edits);
    }

    private *applyEdits(req: ApiRequest, edits: readonly ConfigurationEdit[]): Operation<HandlerResult> {
        const receipt = yield* this.writer.apply({ author: req.author, edits });
        if (receipt.err) return receipt;
        return Ok({ status: 200, body: { changeId: receipt.val.changeId, versions: Object.fromEntries(receipt.val.versions) } });
    }

    private *readHistory(req: ApiRequest): Operation<HandlerResult> {
        const limit = parseInput(requestSchemas.limit, req.query.get("limit") ?? defaultHistoryLength);
        if (limit.err) return limit;
        const changes = yield* this.writer.readHistory(limit.val);
        return changes.map(list => ({ status: 200, body: { changes: list } }));
    }
}

function parseInput<T>(schema: ZodType<T>, input: unknown): Result<T, Failure> {
    const parsed = schema.safeParse(input);
    if (parsed.success) return Ok(parsed.data);
    const validationErrors = parsed.error.issues.map(issue => `${issue.path.join(".") || "(top)"}: ${issue.message}`);
    return Err(createFailure(Diagnostics.requestInvalid, RunOutcome.DidNotRun, validationErrors.length, validationErrors.join("; ")));
}
