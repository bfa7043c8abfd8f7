import { Clock } from "@vanillarouter/base/clock";
import * as bunyan from "bunyan";

const windowMs = 1_000;
/** Maximum number of log lines per second about served requests. At 250 bytes a line, this is 50 KB/s. */
const servedLinesPerWindow = 200;
/** Maximum number of log lines per second about requests and attempts that failed. */
const failedLinesPerWindow = 200;

/** Logs routing decisions about requests at a limited rate. Omitted lines are counted, and their number is logged. */
export class DecisionLog {
    private windowStart = 0;
    private servedLines = 0;
    private failedLines = 0;
    private omittedLines = 0;

    private constructor(private readonly log: bunyan, private readonly clock: Clock) {}

    public static create(log: bunyan, clock: Clock): DecisionLog {
        return new DecisionLog(log, clock);
    }

    /** Logs how a request was served. */
    public logServed(event: string, fields: Readonly<Record<string, unknown>>): void {
        this.startWindow();
        if (this.servedLines++ < servedLinesPerWindow) this.log.info(fields, event);
        else this.omittedLines++;
    }

    /** Logs why a request, or an attempt at it, was not served. */
    public logFailed(event: string, fields: Readonly<Record<string, unknown>>): void {
        this.startWindow();
        if (this.failedLines++ < failedLinesPerWindow) this.log.info(fields, event);
        else this.omittedLines++;
    }

    private startWindow(): void {
        const now = this.clock.now();
        if (now - this.windowStart < windowMs) return;
        this.windowStart = now;
        this.servedLines = 0;
        this.failedLines = 0;
        if (this.omittedLines > 0) this.log.warn({ lines: this.omittedLines }, "log.omitted");
        this.omittedLines = 0;
    }
}
