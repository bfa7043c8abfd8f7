import { Clock } from "@vanillarouter/base/clock";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { DatagramTransport } from "../datagramTransport";

interface Endpoint {
    listener: (data: Uint8Array) => void;
    sentMessages: number;
    sentBytes: number;
}

/**
 * In-memory datagram network with delay, loss and partitions, for tests and measurements. Hosts are addressed by name; ports
 * are ignored and are 1 by convention.
 */
export class MemoryNetwork {
    /** Fraction of datagrams that are lost, from 0 to 1. */
    public lossRate = 0;
    /** Maximum delay of a datagram in milliseconds; the minimum is half of it. */
    public delayMs = 2;
    private readonly endpoints = new Map<string, Endpoint>();
    private readonly partitions = new Map<string, number>();
    private readonly bufferedDatagrams = new Map<string, Uint8Array[]>();

    private constructor(private readonly clock: Clock, private readonly random: RandomSource) {}

    public static create(clock: Clock, random: RandomSource): MemoryNetwork {
        return new MemoryNetwork(clock, random);
    }

    /** Creates the transport of a host. */
    public open(host: string): DatagramTransport {
        const endpoint: Endpoint = { listener: () => {}, sentMessages: 0, sentBytes: 0 };
        this.endpoints.set(host, endpoint);
        return {
            send: (target, _port, data) => this.send(host, endpoint, target, data),
            setListener: listener => endpoint.listener = listener,
        };
    }

    /** Removes a host; datagrams sent to it are lost. */
    public remove(host: string): void {
        this.endpoints.delete(host);
    }

    /** Assigns hosts to a partition. Hosts in different partitions cannot reach each other; all start in partition 0. */
    public setPartition(partition: number, hosts: readonly string[]): void {
        for (const host of hosts) this.partitions.set(host, partition);
    }

    /** Returns whether two hosts can exchange datagrams and calls. */
    public canReach(first: string, second: string): boolean {
        return (this.partitions.get(first) ?? 0) === (this.partitions.get(second) ?? 0);
    }

    /** Buffers datagrams that arrive at a host, as the kernel does for a paused process. */
    public pause(host: string): void {
        this.bufferedDatagrams.set(host, []);
    }

    /** Delivers the datagrams buffered during a pause. */
    public resume(host: string): void {
        const buffered = this.bufferedDatagrams.get(host) ?? [];
        this.bufferedDatagrams.delete(host);
        for (const data of buffered) this.endpoints.get(host)?.listener(data);
    }

    /** Returns the number of messages and bytes sent by a host. */
    public readTraffic(host: string): { readonly messages: number; readonly bytes: number; } {
        const endpoint = this.endpoints.get(host);
        return { messages: endpoint?.sentMessages ?? 0, bytes: endpoint?.sentBytes ?? 0 };
    }

    private send(source: string, endpoint: Endpoint, target: string, data: Uint8Array): void {
        endpoint.sentMessages++;
        endpoint.sentBytes += data.length;
        if (this.endpoints.get(source) !== endpoint || !this.canReach(source, target) || this.random.next() < this.lossRate) return;
        this.clock.startTimer(this.delayMs * (0.5 + 0.5 * this.random.next()), () => this.deliver(target, data));
    }

    private deliver(target: string, data: Uint8Array): void {
        const buffered = this.bufferedDatagrams.get(target);
        if (buffered !== undefined) buffered.push(data);
        else this.endpoints.get(target)?.listener(data);
    }
}
