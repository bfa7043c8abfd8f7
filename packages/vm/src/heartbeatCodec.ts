import { decode, encode } from "@msgpack/msgpack";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { createHmac, timingSafeEqual } from "node:crypto";
import { z } from "zod";
import { Heartbeat } from "./heartbeat";
import { HeartbeatKind } from "./heartbeatKind";
import { MemberState } from "./memberState";
import { MemberUpdate } from "./memberUpdate";

const macBytes = 16;
/** Below the usual path MTU, so that datagrams are not fragmented. */
const maxPacketBytes = 1200;

const name = z.string().min(1).max(128);
const port = z.number().int().min(1).max(65535);
const vmFields = [name, name, name, port, port, z.number().int().min(0), z.boolean()] as const;
const schema = z.tuple([
    z.enum(HeartbeatKind),
    z.tuple(vmFields),
    z.string().max(128),
    z.number(),
    z.string().max(128),
    z.number(),
    z.array(z.tuple([...vmFields, z.enum(MemberState)])).max(64),
    z.array(z.tuple([name, z.number(), z.array(name).max(64)])).max(8),
]);

type VmFields = [string, string, string, number, number, number, boolean];

/**
 * Encodes and decodes heartbeats: a truncated HMAC-SHA256 keyed with the cluster key, followed by a MessagePack body. A
 * replayed message has no effect: an update of an older incarnation never replaces a newer one, and an ack is accepted only
 * for an outstanding sequence number.
 */
export class HeartbeatCodec {
    private constructor(private readonly key: string) {}

    public static create(clusterKey: string): HeartbeatCodec {
        return new HeartbeatCodec(clusterKey);
    }

    /** Encodes a message; halves the number of its updates, keeping the first ones, until it fits into a packet. */
    public encode(message: Heartbeat): Uint8Array {
        const { kind, sender, receiver, sequence, subject, configurationMark } = message;
        const notices = message.notices.map(notice => [notice.relay, notice.sequence, notice.unreachable]);
        for (let count = message.updates.length;; count = count >> 1) {
            const updates = message.updates.slice(0, count).map(update => [...encodeVm(update.vm), update.state]);
            const body = encode([kind, encodeVm(sender), receiver, sequence, subject, configurationMark, updates, notices]);
            if (body.length + macBytes <= maxPacketBytes || count === 0) return Buffer.concat([this.sign(body), body]);
        }
    }

    /** Decodes a message. Returns undefined if it was not signed with the cluster key or is malformed. */
    public decode(packet: Uint8Array): Heartbeat | undefined {
        if (packet.length <= macBytes || packet.length > maxPacketBytes) return undefined;
        const body = packet.subarray(macBytes);
        if (!timingSafeEqual(this.sign(body), packet.subarray(0, macBytes))) return undefined;
        try {
            const parsed = schema.safeParse(decode(body));
            if (!parsed.success) return undefined;
            const [kind, sender, receiver, sequence, subject, configurationMark, updates, notices] = parsed.data;
            return {
                kind,
                sender: decodeVm(sender),
                receiver,
                sequence,
                subject,
                configurationMark,
                updates: updates.map(decodeUpdate),
                notices: notices.map(([relay, noticeSequence, unreachable]) => ({ relay, sequence: noticeSequence, unreachable })),
            };
        }
        catch {
            return undefined;
        }
    }

    private sign(body: Uint8Array): Buffer {
        return createHmac("sha256", this.key).update(body).digest().subarray(0, macBytes);
    }
}

function encodeVm(vm: VmDescription): VmFields {
    return [vm.id, vm.zone, vm.host, vm.heartbeatPort, vm.linkPort, vm.incarnation, vm.leaving];
}

function decodeVm([id, zone, host, heartbeatPort, linkPort, incarnation, leaving]: VmFields): VmDescription {
    return { id, zone, host, heartbeatPort, linkPort, incarnation, leaving };
}

function decodeUpdate([id, zone, host, heartbeatPort, linkPort, incarnation, leaving, state]: [...VmFields, MemberState]): MemberUpdate {
    return { vm: { id, zone, host, heartbeatPort, linkPort, incarnation, leaving }, state };
}
