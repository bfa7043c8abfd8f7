import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { Err, Result } from "ts-results";
import { ErrorKind } from "../model/errorKind";
import { UpstreamDialer } from "../model/upstreamDialer";
import { UpstreamLink } from "../model/upstreamLink";
import { ConnectionReporter } from "./connectionReporter";

const dialTimeoutMs = 450;
/** Delay before dialing again after the upstream reported too many connections, so that other VMs can close idle ones. */
const connectionLimitPauseMs = 150;
/** Delay before dialing again after any other dial failure. */
const failedDialPauseMs = 250;

/** Opens connections to one upstream, and pauses after failures. */
export class ConnectionOpener {
    private blockedUntil = Number.NEGATIVE_INFINITY;

    private constructor(private readonly clock: Clock, private readonly dialer: UpstreamDialer, private readonly reporter: ConnectionReporter) {}

    public static create(clock: Clock, dialer: UpstreamDialer, reporter: ConnectionReporter): ConnectionOpener {
        return new ConnectionOpener(clock, dialer, reporter);
    }

    /** Whether no connection may be opened for statements yet, because an attempt has just failed. */
    public get isBlocked(): boolean {
        return this.clock.now() < this.blockedUntil;
    }

    public *open(tenant: string | undefined): Operation<Result<UpstreamLink, ErrorKind>> {
        const link = yield* this.dialer.dial(this.reporter.upstream, tenant, dialTimeoutMs);
        if (link.ok) return link;
        this.recordFailure(link.val);
        return link.val === ErrorKind.Refused ? Err(ErrorKind.Other) : link;
    }

    private recordFailure(error: ErrorKind): void {
        const pauseMs = error === ErrorKind.TooManyConnections ? connectionLimitPauseMs : failedDialPauseMs;
        this.blockedUntil = this.clock.now() + pauseMs;
        if (error === ErrorKind.Refused) this.reporter.listener.recordRefusal();
        else this.reporter.listener.recordSilence();
        if (error !== ErrorKind.TooManyConnections && error !== ErrorKind.Busy) this.reporter.recordFailure();
    }
}
