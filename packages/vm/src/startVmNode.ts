import { Clock } from "@vanillarouter/base/clock";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { sleep } from "@vanillarouter/base/sleep";
import { KeyValueStore } from "@vanillarouter/platform/keyValueStore";
import { VmList } from "@vanillarouter/platform/vmList";
import { Ok, Result } from "ts-results";
import { LinkPool } from "./linkPool";
import { LinkServer } from "./linkServer";
import { MemberState } from "./memberState";
import { NodeRoles } from "./nodeRoles";
import { NodeSettings } from "./nodeSettings";
import { PeerServices } from "./peerServices";
import { RunningNode } from "./runningNode";
import { UdpTransport } from "./udpTransport";
import { VmNode } from "./vmNode";

interface StartOptions {
    readonly settings: NodeSettings;
    readonly store: KeyValueStore;
    readonly list: VmList;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Milliseconds since the Unix epoch, for audit records. */
    readonly readWallTime: () => number;
    /** Creates the roles of this VM; called once, before any message is sent or received. */
    readonly createRoles: (node: VmNode) => NodeRoles;
    readonly onEvent?: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** Time allowed for the datagrams that announce the stop of this VM to be sent before the socket is closed. */
const finalDatagramsMs = 20;

/** Binds the sockets of a VM and creates its node; run it with `node.run()`. Fails if a port or certificate cannot be used. */
export function* startVmNode(options: StartOptions): Operation<Result<RunningNode, Failure>> {
    const { settings, clock } = options;
    const transport = UdpTransport.create(settings.host);
    const heartbeatPort = yield* transport.bind(settings.heartbeatPort);
    if (heartbeatPort.err) return heartbeatPort;
    const servicesRef: { services?: PeerServices; } = {};
    const server = LinkServer.create({
        clock,
        host: settings.host,
        port: settings.linkPort,
        tls: settings.tls,
        services: deferServices(() => servicesRef.services!),
    });
    const linkPort = server.err ? server : yield* server.val.listen();
    if (server.err || linkPort.err) {
        transport.close();
        return server.err ? server : linkPort as Result<RunningNode, Failure>;
    }
    const links = LinkPool.create({ vmId: settings.id, clock, tls: settings.tls });
    const bound = { ...settings, heartbeatPort: heartbeatPort.val, linkPort: linkPort.val };
    const node = VmNode.create({ ...options, settings: bound, transport, peers: links });
    servicesRef.services = node.services;
    node.membership.table.onChange(member => member.state === MemberState.Dead && links.closeUnlessResponsive(member.vm));
    const close = function*(): Operation<void> {
        node.stop();
        yield* sleep(clock, finalDatagramsMs);
        links.close();
        server.val.close();
        transport.close();
    };
    return Ok({ node, links, heartbeatPort: heartbeatPort.val, linkPort: linkPort.val, countIncomingLinks: () => server.val.linkCount, close });
}

/** Delegates to services that are set later. The server must listen before the node exists, because the node announces the bound port. */
function deferServices(read: () => PeerServices): PeerServices {
    return {
        get owner() {
            return read().owner;
        },
        readDigest: () => read().readDigest(),
        pullShards: names => read().pullShards(names),
        pushShards: (deltas, senderId) => read().pushShards(deltas, senderId),
        exchangeMembers: exchange => read().exchangeMembers(exchange),
        exchangeGroups: exchange => read().exchangeGroups(exchange),
    };
}
