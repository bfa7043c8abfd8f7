import { ConnectionLimits } from "@vanillarouter/base/connectionLimits";
import { ResourceSettings } from "../model/resourceSettings";

const bytesPerMegabyte = 1_048_576;
/** Descriptors that are kept for files. */
const fileDescriptors = 200;
/** Fractions of the other descriptors. The rest is for connections to upstreams, the store and other VMs. */
const callerDescriptorFraction = 0.65;
const linkDescriptorFraction = 0.125;
const httpDescriptorFraction = 0.01;
const minHttpConnections = 4;
/** Fraction of the memory that callers may hold. The program without callers and the garbage of its heap need about half of a small VM. */
const heldMemoryFraction = 0.08;
/** Fraction of the memory for large statements in execution. About five copies of each exist: received, decoded, encoded and being sent. */
const servedMemoryFraction = 0.03125;

/** Fraction of the memory for garbage of large messages. */
const garbageMemoryFraction = 0.03125;

/** Limits of the servers of a VM, derived from what the VM may use. */
export class ResourceLimits {
    private constructor(
        public readonly callers: ConnectionLimits,
        /** Bytes of large messages after which garbage is collected. */
        public readonly maxGarbageBytes: number,
        /** Maximum number of links from other VMs. */
        public readonly maxLinks: number | undefined,
        /** Maximum number of connections to the readiness address, and as many to the metrics address. */
        public readonly maxHttpConnections: number | undefined,
    ) {}

    public static create({ memoryMb, maxDescriptors, loginTimeoutMs, messageTimeoutMs, responseTimeoutMs }: ResourceSettings): ResourceLimits {
        const memoryBytes = (memoryMb ?? Infinity) * bytesPerMegabyte;
        const sockets = maxDescriptors === undefined ? undefined : Math.max(0, maxDescriptors - fileDescriptors);
        const callers = {
            maxConnections: sockets === undefined ? Infinity : Math.floor(sockets * callerDescriptorFraction),
            maxHeldBytes: memoryBytes * heldMemoryFraction,
            maxServedBytes: memoryBytes * servedMemoryFraction,
            loginTimeoutMs,
            messageTimeoutMs,
            responseTimeoutMs,
        };
        const maxGarbageBytes = memoryBytes * garbageMemoryFraction;
        if (sockets === undefined) return new ResourceLimits(callers, maxGarbageBytes, undefined, undefined);
        const maxHttpConnections = Math.max(minHttpConnections, Math.floor(sockets * httpDescriptorFraction));
        return new ResourceLimits(callers, maxGarbageBytes, Math.floor(sockets * linkDescriptorFraction), maxHttpConnections);
    }
}
