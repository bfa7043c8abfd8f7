import { CallerChannel } from "../model/callerChannel";
import { CallerStatement } from "../model/callerStatement";
import { SessionContext } from "./sessionContext";
import { StatementOutcome } from "./statementOutcome";

/** Logs and counts what a session served or refused. */
export class SessionLog {
    private constructor(private readonly channel: CallerChannel, private readonly context: SessionContext) {}

    public static create(channel: CallerChannel, context: SessionContext): SessionLog {
        return new SessionLog(channel, context);
    }

    /** Records the outcome of a statement that was received at the local time `receivedAt` in milliseconds. `callerLeft`: its caller has left meanwhile. */
    public recordOutcome(statement: CallerStatement, workClass: string, receivedAt: number, outcome: StatementOutcome, callerLeft: boolean): void {
        const latencyMs = this.context.clock.now() - receivedAt;
        this.context.metrics.recordStatement(workClass, outcome.error, latencyMs);
        if (callerLeft) this.context.metrics.recordAbandoned(workClass, outcome.error);
        if (outcome.error === undefined) return;
        this.context.decisions.logFailed("statement.failed", {
            req: statement.id,
            class: workClass,
            service: this.context.cluster.findClass(this.channel.database)?.service,
            kind: statement.kind,
            error: outcome.error,
            ms: Math.round(latencyMs),
            callerLeft: callerLeft ? true : undefined,
            text: outcome.text,
        });
    }

    /** Records a login that was refused because of its key. */
    public recordRefusedLogin(): void {
        this.context.metrics.recordRefusedLogin(this.channel.database);
        this.logKey("login.refused", {});
    }

    /** Records the end of a session whose key was withdrawn. `statement` is the one that it refused, if any. */
    public recordKeyWithdrawal(statement: CallerStatement | undefined): void {
        this.context.metrics.recordKeyWithdrawal(this.channel.database);
        this.logKey("session.key-withdrawn", { req: statement?.id });
    }

    private logKey(event: string, fields: Readonly<Record<string, unknown>>): void {
        const { database, callerAddress } = this.channel;
        this.context.decisions.logFailed(event, { ...fields, class: database, caller: callerAddress, version: this.context.cluster.configuration?.version });
    }
}
