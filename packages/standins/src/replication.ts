import { LogPosition } from "@vanillarouter/base/logPosition";
import { createServer, Server, Socket } from "node:net";
import { GroupEntry } from "./groupEntry";
import { GroupMember } from "./groupMember";
import { LineSocket } from "./lineSocket";

/** Messages between upstreams. Every message of a primary counts as a contact. */
type PeerMessage =
    | { readonly type: "hello"; readonly from: string; readonly term: number; readonly ends: readonly LogPosition[]; }
    | { readonly type: "start"; readonly term: number; readonly common: number; }
    | { readonly type: "entries"; readonly term: number; readonly entries: readonly GroupEntry[]; };

interface Follower {
    readonly socket: LineSocket;
    sent: number;
}

const heartbeatMs = 50;
const reconnectMs = 50;
/** A replica opens a new connection when its primary was silent for this long. */
const silenceMs = 1000;

/**
 * Moves entries from the primary to replicas over loopback TCP. A replica connects to its primary and states its log;
 * the primary answers with the common prefix and sends what follows.
 */
export class Replication {
    private readonly followers = new Set<Follower>();
    private readonly addresses = new Map<string, number>();
    private link: LineSocket | undefined;
    private linkFor = "";
    private linkHeardAt = 0;
    private isolated = false;
    private readonly server: Server;
    private readonly timers: NodeJS.Timeout[] = [];

    private constructor(private readonly member: GroupMember) {
        this.server = createServer(socket => this.accept(socket));
        member.onChange(() => this.react());
        this.timers.push(setInterval(() => this.beat(), heartbeatMs), setInterval(() => this.maintainLink(), reconnectMs));
    }

    public static create(member: GroupMember): Replication {
        return new Replication(member);
    }

    public async listen(port: number): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(port, "127.0.0.1", resolve));
        return (this.server.address() as { port: number; }).port;
    }

    /** Tells the replication ports of the other upstreams. */
    public setAddresses(ports: Readonly<Record<string, number>>): void {
        for (const [id, port] of Object.entries(ports)) this.addresses.set(id, port);
    }

    /** While isolated, nothing is sent or taken, and open connections stay open without a word. */
    public setIsolated(isolated: boolean): void {
        if (this.isolated === isolated) return;
        this.isolated = isolated;
        if (!isolated) this.closeAll();
    }

    public close(): void {
        for (const timer of this.timers) clearInterval(timer);
        this.closeAll();
        this.server.close();
    }

    private accept(socket: Socket): void {
        const line: LineSocket = LineSocket.create(socket, message => this.takeHello(line, message as PeerMessage), () => this.removeFollower(line));
    }

    private takeHello(socket: LineSocket, message: PeerMessage): void {
        if (this.isolated || message.type !== "hello") return;
        if (!this.member.isPrimary || message.term !== this.member.acceptedTerm) {
            socket.close();
            return;
        }
        const common = this.member.log.findCommonPosition(message.ends);
        socket.send({ type: "start", term: message.term, common } satisfies PeerMessage);
        const follower: Follower = { socket, sent: common };
        this.followers.add(follower);
        this.sendEntries(follower);
    }

    private removeFollower(socket: LineSocket): void {
        for (const follower of this.followers) {
            if (follower.socket === socket) this.followers.delete(follower);
        }
    }

    private react(): void {
        if (!this.member.isPrimary) this.closeFollowers();
        else for (const follower of this.followers) this.sendEntries(follower);
        if (this.linkFor !== this.describeLink()) this.maintainLink();
    }

    private sendEntries(follower: Follower, always = false): void {
        if (this.isolated) return;
        const entries = this.member.log.slice(follower.sent);
        if (entries.length === 0 && !always) return;
        follower.sent += entries.length;
        follower.socket.send({ type: "entries", term: this.member.acceptedTerm, entries } satisfies PeerMessage);
    }

    private beat(): void {
        for (const follower of this.followers) this.sendEntries(follower, true);
    }

    private describeLink(): string {
        return this.member.isPrimary || this.member.primary === undefined ? "" : `${this.member.acceptedTerm} ${this.member.primary}`;
    }

    /** Keeps one connection to the primary that the upstream follows. */
    private maintainLink(): void {
        const wanted = this.describeLink();
        if (this.linkFor !== wanted) this.closeLink();
        if (this.isolated || wanted === "") return;
        const silent = performance.now() - this.linkHeardAt > silenceMs;
        if (this.link !== undefined && !silent) return;
        this.closeLink();
        this.openLink(wanted);
    }

    private openLink(wanted: string): void {
        const port = this.addresses.get(this.member.primary!);
        if (port === undefined) return;
        const term = this.member.acceptedTerm;
        const socket = new Socket();
        const link: LineSocket = LineSocket.create(socket, message => this.takeFromPrimary(link, term, message as PeerMessage), () => this.dropLink(link));
        this.link = link;
        this.linkFor = wanted;
        this.linkHeardAt = performance.now();
        socket.connect(port, "127.0.0.1");
        link.send({ type: "hello", from: this.member.id, term, ends: this.member.log.termEnds } satisfies PeerMessage);
    }

    private takeFromPrimary(link: LineSocket, term: number, message: PeerMessage): void {
        if (this.isolated || this.link !== link || this.member.acceptedTerm !== term) return;
        this.linkHeardAt = performance.now();
        if (message.type === "start") this.member.discardAfter(message.common);
        if (message.type === "entries") this.member.receive(message.term, message.entries);
    }

    private dropLink(link: LineSocket): void {
        if (this.link === link) this.link = undefined;
    }

    private closeLink(): void {
        const link = this.link;
        this.link = undefined;
        this.linkFor = "";
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
