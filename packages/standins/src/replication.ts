import { LogPosition } from "@vanillarouter/base/logPosition";
import { createServer, Server, Socket } from "node:net";
import { GroupLogEntry } from "./groupLogEntry";
import { GroupMember } from "./groupMember";
import { JsonLineSocket } from "./jsonLineSocket";

/**
 * Messages between upstreams. Every `entries` message from the primary resets the replica's `primarySilenceMs`; one without
 * entries serves as a heartbeat.
 */
type PeerMessage =
    | { readonly type: "hello"; readonly from: string; readonly term: number; readonly ends: readonly LogPosition[]; }
    | { readonly type: "start"; readonly term: number; readonly common: number; }
    | { readonly type: "entries"; readonly term: number; readonly entries: readonly GroupLogEntry[]; };

interface Follower {
    readonly socket: JsonLineSocket;
    sentPosition: number;
}

const heartbeatIntervalMs = 50;
const linkCheckIntervalMs = 50;
/** A replica opens a new connection if it has received nothing from its primary for this long. */
const linkTimeoutMs = 1000;

/**
 * Replicates log entries from the primary to the replicas over loopback TCP. A replica connects to its primary and sends the
 * `termEnds` of its log; the primary responds with the length of the common prefix and then sends the entries after it.
 */
export class Replication {
    private readonly followers = new Set<Follower>();
    private readonly portsByUpstreamId = new Map<string, number>();
    private link: JsonLineSocket | undefined;
    private linkTarget = "";
    private lastReceivedAt = 0;
    private isIsolated = false;
    private readonly server: Server;
    private readonly timers: NodeJS.Timeout[] = [];

    private constructor(private readonly member: GroupMember) {
        this.server = createServer(socket => this.accept(socket));
        member.onChange(() => this.handleMemberChange());
        this.timers.push(setInterval(() => this.sendHeartbeats(), heartbeatIntervalMs), setInterval(() => this.maintainLink(), linkCheckIntervalMs));
    }

    public static create(member: GroupMember): Replication {
        return new Replication(member);
    }

    public async listen(port: number): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(port, "127.0.0.1", resolve));
        return (this.server.address() as { port: number; }).port;
    }

    /** Sets the replication ports of the other upstreams, by their ids. */
    public setPeerPorts(ports: Readonly<Record<string, number>>): void {
        for (const [id, port] of Object.entries(ports)) this.portsByUpstreamId.set(id, port);
    }

    /** While isolated, the upstream sends nothing and ignores received messages, but keeps open connections open. */
    public setIsolated(isolated: boolean): void {
        if (this.isIsolated === isolated) return;
        this.isIsolated = isolated;
        if (!isolated) this.closeAll();
    }

    public close(): void {
        for (const timer of this.timers) clearInterval(timer);
        this.closeAll();
        this.server.close();
    }

    private accept(socket: Socket): void {
        const jsonSocket: JsonLineSocket = JsonLineSocket.create(
            socket,
            message => this.handleHello(jsonSocket, message as PeerMessage),
            () => this.removeFollower(jsonSocket),
        );
    }

    private handleHello(socket: JsonLineSocket, message: PeerMessage): void {
        if (this.isIsolated || message.type !== "hello") return;
        if (!this.member.isPrimary || message.term !== this.member.acceptedTerm) {
            socket.close();
            return;
        }
        const common = this.member.log.findCommonPosition(message.ends);
        socket.send({ type: "start", term: message.term, common } satisfies PeerMessage);
        const follower: Follower = { socket, sentPosition: common };
        this.followers.add(follower);
        this.sendEntries(follower);
    }

    private removeFollower(socket: JsonLineSocket): void {
        for (const follower of this.followers) {
            if (follower.socket === socket) this.followers.delete(follower);
        }
    }

    private handleMemberChange(): void {
        if (!this.member.isPrimary) this.closeFollowers();
        else for (const follower of this.followers) this.sendEntries(follower);
        if (this.linkTarget !== this.formatLinkTarget()) this.maintainLink();
    }

    private sendEntries(follower: Follower, sendIfEmpty = false): void {
        if (this.isIsolated) return;
        const entries = this.member.log.slice(follower.sentPosition);
        if (entries.length === 0 && !sendIfEmpty) return;
        follower.sentPosition += entries.length;
        follower.socket.send({ type: "entries", term: this.member.acceptedTerm, entries } satisfies PeerMessage);
    }

    private sendHeartbeats(): void {
        for (const follower of this.followers) this.sendEntries(follower, true);
    }

    private formatLinkTarget(): string {
        return this.member.isPrimary || this.member.primary === undefined ? "" : `${this.member.acceptedTerm} ${this.member.primary}`;
    }

    /** Maintains one connection to the primary that this upstream follows, and replaces it when it is lost or silent. */
    private maintainLink(): void {
        const target = this.formatLinkTarget();
        if (this.linkTarget !== target) this.closeLink();
        if (this.isIsolated || target === "") return;
        const isSilent = performance.now() - this.lastReceivedAt > linkTimeoutMs;
        if (this.link !== undefined && !isSilent) return;
        this.closeLink();
        this.openLink(target);
    }

    private openLink(target: string): void {
        const port = this.portsByUpstreamId.get(this.member.primary!);
        if (port === undefined) return;
        const term = this.member.acceptedTerm;
        const socket = new Socket();
        const link: JsonLineSocket = JsonLineSocket.create(
            socket,
            message => this.handlePrimaryMessage(link, term, message as PeerMessage),
            () => this.handleLinkClose(link),
        );
        this.link = link;
        this.linkTarget = target;
        this.lastReceivedAt = performance.now();
        socket.connect(port, "127.0.0.1");
        link.send({ type: "hello", from: this.member.id, term, ends: this.member.log.termEnds } satisfies PeerMessage);
    }

    private handlePrimaryMessage(link: JsonLineSocket, term: number, message: PeerMessage): void {
        if (this.isIsolated || this.link !== link || this.member.acceptedTerm !== term) return;
        this.lastReceivedAt = performance.now();
        if (message.type === "start") this.member.discardAfter(message.common);
        if (message.type === "entries") this.member.receive(message.term, message.entries);
    }

    private handleLinkClose(link: JsonLineSocket): void {
        if (this.link === link) this.link = undefined;
    }

    private closeLink(): void {
        const link = this.link;
        this.link = undefined;
        this.linkTarget = "";
        link?.close();
    }

    private closeFollowers(): void {
        for (const follower of this.followers) follower.socket.close();
        this.followers.clear();
    }

    private closeAll(): void {
        this.closeFollowers();
        this.closeLink();
    }
}
