import { Clock } from "@vanillarouter/base/clock";
import { LineSocket } from "@vanillarouter/base/lineSocket";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { Task } from "@vanillarouter/base/task";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { waitForConnect } from "@vanillarouter/base/waitForConnect";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { MemberEntry } from "@vanillarouter/session/model/memberEntry";
import { connect } from "node:net";
import { RelayLimits } from "./relayLimits";
import { RelayLink } from "./relayLink";

/** A round trip between zones takes milliseconds. A lost SYN is retransmitted only after a second, which is too long to wait. */
const connectTimeoutMs = 150;

/** An entry VM's view of one gateway: the link to it, and the services for which it failed. */
export class RelayGateway {
    private link: RelayLink | undefined;
    private pendingOpen: Signal<RelayLink | undefined> | undefined;
    private readonly failedServiceNames = new Set<string>();
    private lastOpenFailed = false;

    private constructor(private readonly member: MemberEntry, private readonly clock: Clock, private readonly tasks: TaskGroup) {}

    public static create(member: MemberEntry, clock: Clock, tasks: TaskGroup): RelayGateway {
        return new RelayGateway(member, clock, tasks);
    }

    public get id(): string {
        return this.member.id;
    }

    public get zone(): string {
        return this.member.zone;
    }

    public get address(): string | undefined {
        return this.member.relayAddress;
    }

    public get isLinked(): boolean {
        return this.link?.isOpen === true;
    }

    public get activeCalls(): number {
        return this.link?.activeCalls ?? 0;
    }

    /** Whether the gateway cannot be reached, is silent, or its last call for the service failed. A successful check resets the latter. */
    public hasFailed(service: string): boolean {
        const isSilent = this.isLinked && !this.link!.isResponsive;
        return this.lastOpenFailed || isSilent || this.failedServiceNames.has(service);
    }

    /** Whether the last attempt to open a link failed. */
    public get isUnreachable(): boolean {
        return this.lastOpenFailed;
    }

    public recordFailure(service: string): void {
        this.failedServiceNames.add(service);
    }

    public recordSuccess(service: string): void {
        this.failedServiceNames.delete(service);
    }

    /** Services for which the last call to this gateway failed. */
    public get failedServices(): readonly string[] {
        return [...this.failedServiceNames];
    }

    /** Returns the link, opening it if needed; undefined if the gateway cannot be reached. */
    public *obtainLink(): Operation<RelayLink | undefined> {
        if (this.link?.isOpen === true) return this.link;
        if (this.pendingOpen !== undefined) return yield* this.pendingOpen.wait();
        const opened = Signal.create<RelayLink | undefined>();
        this.pendingOpen = opened;
        // The link is opened in a separate task, so that cancelling one caller does not cancel the connection attempt for the others.
        const task = Task.start(this.openLink());
        task.onSettled(() => {
            this.pendingOpen = undefined;
            task.deliver(link => opened.notifyAll(link), () => opened.notifyAll(undefined));
        });
        return task.isSettled ? this.link : yield* task.join();
    }

    /** Checks that the gateway is alive, if there is an open link. */
    public checkLink(): void {
        if (this.isLinked) this.link!.checkLiveness();
    }

    public close(): void {
        this.link?.close();
    }

    private *openLink(): Operation<RelayLink | undefined> {
        const [host, port] = this.member.relayAddress?.split(":") ?? [];
        if (host === undefined || port === undefined) return undefined;
        const socket = connect({ host, port: Number(port) });
        const lineSocket = LineSocket.create(socket, RelayLimits.maxMessageBytes);
        if ((yield* withTimeout(this.clock, connectTimeoutMs, waitForConnect(socket))) !== true) {
            lineSocket.close();
            this.lastOpenFailed = true;
            return undefined;
        }
        this.lastOpenFailed = false;
        const link = RelayLink.create(lineSocket, this.clock);
        this.link = link;
        this.tasks.start(link.dispatchResponses());
        return link;
    }
}
