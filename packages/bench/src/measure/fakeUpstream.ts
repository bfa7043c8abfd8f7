import { Clock } from "@vanillarouter/base/clock";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";
import { FakeNetwork } from "./fakeNetwork";
import { LogEntry } from "./logEntry";

const contactIntervalMs = 50;

/** Every log begins with this entry. */
const firstEntry: LogEntry = { term: 1, requestId: "", cancelled: false, at: 0 };

/** How an upstream can fail. */
type UpstreamFailure = "none" | "crashed" | "silent";

/** One upstream of a fake group: slots, log, replication and terms as docs/design.md section 6 assumes them. */
export class FakeUpstream {
    public failure: UpstreamFailure = "none";
    public acceptedTerm = 1;
    public isPrimary = false;
    public primary: FakeUpstream | undefined;
    /** Replication delay until a received entry is applied, in milliseconds. */
    public applyDelayMs = 2;
    /** Replication receives nothing while set. */
    public isReplicationStopped = false;
    public readonly log: LogEntry[] = [firstEntry];
    /** Called when the upstream crashes, with the listeners of its connections. */
    public readonly crashListeners = new Set<() => void>();
    public peers: readonly FakeUpstream[] = [];
    /** Called when the upstream accepts a term and when it becomes primary. */
    public onTermChange: (change: "accepted" | "promoted", term: number) => void = () => {};
    /** Slot time spent, in milliseconds. */
    public busyMs = 0;
    private appliedLength = 1;
    private contactAt = 0;
    private busy = 0;
    private epoch = 0;
    private readonly recorded = new Map<string, number>();
    private waiting: (() => void)[] = [];
    private receivedListeners: { readonly entry: LogPosition; readonly listener: () => void; }[] = [];

    private constructor(private readonly clock: Clock, private readonly network: FakeNetwork, public readonly settings: UpstreamSettings) {}

    public static create(clock: Clock, network: FakeNetwork, settings: UpstreamSettings): FakeUpstream {
        const upstream = new FakeUpstream(clock, network, settings);
        upstream.keepContact();
        return upstream;
    }

    public get received(): LogPosition {
        return { term: this.log.at(-1)!.term, position: this.log.length - 1 };
    }

    public get applied(): LogPosition {
        const length = this.isPrimary ? this.log.length : Math.min(this.appliedLength, this.log.length);
        return { term: this.log[length - 1]!.term, position: length - 1 };
    }

    public get status(): UpstreamStatus {
        return {
            upstream: this.settings.id,
            isPrimary: this.isPrimary,
            acceptedTerm: this.acceptedTerm,
            received: this.received,
            applied: this.applied,
            primary: this.isPrimary ? this.settings.id : this.primary?.settings.id,
            primarySilenceMs: this.isPrimary ? 0 : this.clock.now() - this.contactAt,
            leaving: false,
        };
    }

    /** Runs a statement on a slot; statements beyond the slots wait in the order of their arrival. */
    public run(serviceMs: number, done: () => void): void {
        if (this.busy >= this.settings.slots) this.waiting.push(() => this.occupy(serviceMs, done));
        else this.occupy(serviceMs, done);
    }

    public findRecorded(requestId: string): number | undefined {
        return this.recorded.get(requestId);
    }

    /** Appends an entry as primary and sends it to the replicas that follow. */
    public append(requestId: string, cancelled: boolean): LogPosition {
        this.log.push({ term: this.acceptedTerm, requestId, cancelled, at: this.clock.now() });
        if (requestId !== "") this.recorded.set(requestId, this.log.length - 1);
        for (const peer of this.peers) this.replicateTo(peer);
        return this.received;
    }

    public acceptTerm(term: number): boolean {
        if (term <= this.acceptedTerm) return false;
        this.acceptedTerm = term;
        this.isPrimary = false;
        this.primary = undefined;
        this.onTermChange("accepted", term);
        return true;
    }

    public promote(term: number): void {
        if (term !== this.acceptedTerm) return;
        this.isPrimary = true;
        this.primary = undefined;
        this.append("", false);
        this.onTermChange("promoted", term);
    }

    /** Follows a primary and drops the entries that the primary does not hold. */
    public follow(term: number, primary: FakeUpstream): void {
        if (term < this.acceptedTerm || primary === this) return;
        this.acceptedTerm = term;
        this.isPrimary = false;
        this.primary = primary;
        this.contactAt = this.clock.now();
        let common = 0;
        while (common < this.log.length && this.log[common] === primary.log[common]) common++;
        for (const dropped of this.log.splice(common)) this.recorded.delete(dropped.requestId);
        this.appliedLength = Math.min(this.appliedLength, common);
        primary.replicateTo(this);
    }

    /** Calls the listener once the upstream holds an entry. */
    public onReceived(entry: LogPosition, listener: () => void): void {
        if (this.holds(entry)) listener();
        else this.receivedListeners.push({ entry, listener });
    }

    public fail(failure: "crashed" | "silent"): void {
        this.failure = failure;
        if (failure === "silent") return;
        this.epoch++;
        this.busy = 0;
        this.waiting = [];
        for (const listener of [...this.crashListeners]) listener();
    }

    public recover(): void {
        this.failure = "none";
    }

    private occupy(serviceMs: number, done: () => void): void {
        const epoch = this.epoch;
        this.busy++;
        this.clock.startTimer(serviceMs, () => {
            if (epoch !== this.epoch) return;
            this.busy--;
            this.busyMs += serviceMs;
            this.waiting.shift()?.();
            done();
        });
    }

    private replicateTo(peer: FakeUpstream): void {
        if (peer === this || peer.primary !== this) return;
        const length = this.log.length;
        const term = this.acceptedTerm;
        this.network.send(this.settings.zone, peer.settings.zone, () => peer.receive(this, term, length));
    }

    private receive(source: FakeUpstream, term: number, length: number): void {
        if (this.failure !== "none" || source.failure === "silent" || this.isReplicationStopped) return;
        // A source that dropped its tail meanwhile sends again what it has now.
        if (this.primary !== source || this.acceptedTerm !== term || source.log.length < length) return;
        this.contactAt = this.clock.now();
        for (let index = this.log.length; index < length; index++) {
            const entry = source.log[index]!;
            this.log.push(entry);
            if (entry.requestId !== "") this.recorded.set(entry.requestId, index);
        }
        this.clock.startTimer(this.applyDelayMs, () => this.appliedLength = Math.max(this.appliedLength, Math.min(length, this.log.length)));
        const ready = this.receivedListeners.filter(waiting => this.holds(waiting.entry));
        this.receivedListeners = this.receivedListeners.filter(waiting => !this.holds(waiting.entry));
        for (const waiting of ready) waiting.listener();
    }

    private holds(entry: LogPosition): boolean {
        return this.log[entry.position]?.term === entry.term;
    }

    private keepContact(): void {
        this.clock.startTimer(contactIntervalMs, () => {
            if (this.isPrimary && this.failure === "none") this.peers.forEach(peer => this.replicateTo(peer));
            this.keepContact();
        });
    }
}
