/**
 * Benchmarks links between entry instances on the loopback interface: first the latency and throughput of dispatches
 * with a body of 1 KB, then the traffic, CPU time and memory of heartbeats for several numbers of links.
 *
 * Usage: node packages/peers/scripts/measure-link.mjs
 */
import * as logger from "@catkinwharf/logger";
import * as peers from "@catkinwharf/peers";
import * as net from "node:net";

const host = "127.0.0.1";
const peerKey = "a key for measurements only";
const limits = { heartbeatMs: 500, timeoutMs: 2000, maxFrameBytes: 16 * 1024 * 1024, maxConnections: 1000 };
const counters = { count: () => undefined };
const bodyBytes = 1024;
const dispatchCount = 5000;
const parallelDispatches = 64;
const linkCounts = [10, 50, 150];
const heartbeatSeconds = 10;
const digests = ["booking", "weighing", "certificates", "receipts", "reports"].map(service => ({
    service,
    slots: 64,
    free: 12,
    queued: 3,
}));
const peerState = { blind: false, leaving: false, appliedOffset: 123_456 };

function createIdentity(number) {
    return { session: `session-${number}`, entry: `entry-${number}`, availabilityZone: "zone-a" };
}

const handlers = {
    "heartbeat": () => ({
        ...peerState,
        digests,
        ejected: [],
        keepsSession: true,
        kind: "heartbeat-answer",
        exchange: 0,
        session: "session-0",
    }),
    "dispatch": async message => ({
        kind: "dispatch-answer",
        exchange: 0,
        outcome: "answered",
        reason: "",
        status: 200,
        headers: message.headers,
        body: message.body,
    }),
    "key-query": async () => {
        throw new Error("not measured");
    },
    "records-query": async () => {
        throw new Error("not measured");
    },
    "goodbye": () => undefined,
};

function listen() {
    const listener = { host, port: 0 };
    return peers.listenForPeers({
        listener,
        identity: createIdentity(0),
        peerKey,
        handlers,
        limits,
        counters,
        logger: logger.silentLogger,
    });
}

async function connect(port, number) {
    const identity = createIdentity(number);
    const link = new peers.PeerLink({
        address: { host, port },
        expected: createIdentity(0),
        identity,
        peerKey,
        limits,
        clock: () => performance.now(),
        counters,
        logger: logger.silentLogger,
        makeHeartbeat: () => ({ ...peerState, session: identity.session }),
        onHeartbeatAnswer: () => undefined,
    });
    while (link.lastAnsweredAt === undefined) {
        await sleep(5);
    }
    return link;
}

function sleep(milliseconds) {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

function createDispatch() {
    return {
        requestId: "0192f0c1-5c6e-7a10-9d3b-3f1f5d0a7e11",
        service: "booking",
        method: "POST",
        path: "/collections?depot=3",
        headers: [{ name: "content-type", value: "application/json" }],
        body: Buffer.alloc(bodyBytes, 0x61),
        idempotent: false,
        urgency: 3,
        timeoutMs: 1000,
    };
}

async function measureLatency(link) {
    const startedAt = performance.now();
    const outcome = await link.dispatch(createDispatch(), 5000);
    if (outcome.isErr()) {
        throw new Error(outcome.error.reason);
    }
    return performance.now() - startedAt;
}

function computeQuantile(sorted, share) {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}

function describeTimes(times) {
    const sorted = times.toSorted((a, b) => a - b);
    const [middle, high] = [computeQuantile(sorted, 0.5), computeQuantile(sorted, 0.99)];
    return `p50 ${middle.toFixed(3)} ms, p99 ${high.toFixed(3)} ms`;
}

async function measureDispatches(link) {
    const warmUp = Array.from({ length: 1000 }, () => measureLatency(link));
    await Promise.all(warmUp);
    const single = [];
    for (let count = 0; count < dispatchCount; count++) {
        single.push(await measureLatency(link));
    }
    console.log(`dispatch of ${bodyBytes} bytes, one at a time: ${describeTimes(single)}`);
    const usedBefore = process.cpuUsage();
    const startedAt = performance.now();
    const parallel = [];
    await Promise.all(Array.from({ length: parallelDispatches }, async () => {
        for (let count = 0; count < dispatchCount / 10; count++) {
            parallel.push(await measureLatency(link));
        }
    }));
    const seconds = (performance.now() - startedAt) / 1000;
    const used = process.cpuUsage(usedBefore);
    const cpuUs = (used.user + used.system) / parallel.length;
    console.log(
        `${parallelDispatches} at a time: ${Math.round(parallel.length / seconds)} dispatches/s, ${
            Math.round(2 * parallel.length / seconds)
        } messages/s, ${describeTimes(parallel)}, ${cpuUs.toFixed(0)} us of processor for both ends of one`,
    );
}

/** Counts the bytes of every socket that is opened from now on until `stop` is called. */
function countBytes() {
    const sockets = new Set();
    const original = net.Socket.prototype.connect;
    net.Socket.prototype.connect = function(...parameters) {
        sockets.add(this);
        return original.apply(this, parameters);
    };
    return {
        total: () => [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0),
        stop: () => net.Socket.prototype.connect = original,
    };
}

async function measureHeartbeats(listener, count) {
    const bytes = countBytes();
    const memoryBefore = process.memoryUsage().rss;
    const links = await Promise.all(Array.from({ length: count }, (_, index) => connect(listener.port, index + 1)));
    await sleep(2000);
    const [bytesBefore, usedBefore, startedAt] = [bytes.total(), process.cpuUsage(), performance.now()];
    await sleep(heartbeatSeconds * 1000);
    const seconds = (performance.now() - startedAt) / 1000;
    const used = process.cpuUsage(usedBefore);
    const bytesPerSecond = (bytes.total() - bytesBefore) / seconds / count;
    const cpuMs = (used.user + used.system) / 1000 / seconds;
    const memoryKb = (process.memoryUsage().rss - memoryBefore) / 1024 / count;
    console.log(
        `${count} links: ${bytesPerSecond.toFixed(0)} bytes/s a link (both directions), ${
            cpuMs.toFixed(2)
        } ms of processor a second for both ends of all, ${(cpuMs * 1000 / count).toFixed(1)} us a second for a link, ${
            memoryKb.toFixed(0)
        } KB of resident memory a link (both ends)`,
    );
    links.forEach(link => link.close());
    bytes.stop();
    await sleep(500);
}

const listener = await listen();
const link = await connect(listener.port, 1);
await measureDispatches(link);
link.close();
for (const count of linkCounts) {
    await measureHeartbeats(listener, count);
}
await listener.close();
