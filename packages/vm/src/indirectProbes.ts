import { VmDescription } from "@vanillarouter/base/vmDescription";

/** A ping sent on behalf of another member, the origin. */
interface IndirectProbe {
    readonly origin: VmDescription;
    /** Sequence number of the origin's request, which the forwarded ack repeats. */
    readonly sequence: number;
    readonly sentAt: number;
}

const maxProbes = 64;

/** Pings sent on behalf of other members, whose acks must be forwarded, by the sequence number of the ping. */
export class IndirectProbes {
    private readonly probes = new Map<number, IndirectProbe>();

    private constructor() {}

    public static create(): IndirectProbes {
        return new IndirectProbes();
    }

    /** Adds a probe; at the limit, the oldest one is dropped. */
    public add(sequence: number, probe: IndirectProbe): void {
        const [oldest] = this.probes.keys();
        if (this.probes.size >= maxProbes && oldest !== undefined) this.probes.delete(oldest);
        this.probes.set(sequence, probe);
    }

    public take(sequence: number): IndirectProbe | undefined {
        const probe = this.probes.get(sequence);
        this.probes.delete(sequence);
        return probe;
    }

    public removeSentBefore(time: number): void {
        for (const [sequence, probe] of this.probes) {
            if (probe.sentAt < time) this.probes.delete(sequence);
        }
    }
}
