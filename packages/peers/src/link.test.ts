import * as logger from "@catkinwharf/logger";
import type * as schema from "@catkinwharf/schema";
import * as net from "node:net";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as peers from "./index.js";

const host = "127.0.0.1";
const peerKey = "a key for tests only";
const limits: peers.PeerLimits = { heartbeatMs: 20, timeoutMs: 200, maxFrameBytes: 100_000, maxConnections: 40 };
const accepterIdentity: peers.PeerIdentity = { session: "session-b", entry: "entry-b", availabilityZone: "zone-a" };
const dialerIdentity: peers.PeerIdentity = { session: "session-a", entry: "entry-a", availabilityZone: "zone-a" };
const peerState = { blind: false, leaving: false, appliedOffset: 0 };
const dispatchRequest = {
    requestId: "request-1",
    service: "service",
    method: "POST",
    path: "/",
    headers: [],
    body: Buffer.from("body"),
    idempotent: false,
    urgency: 3,
    timeoutMs: 1000,
};

class RecordingCounters implements peers.PeerCounters {
    readonly reasons: string[] = [];
    count(_name: string, reason: string): void {
        this.reasons.push(reason);
    }
}

const defaultHandlers: peers.PeerHandlers = {
    "heartbeat": ({ exchange }) => ({
        ...peerState,
        digests: [],
        ejected: [],
        kind: "heartbeat-answer",
        exchange,
        session: "session-b",
        keepsSession: true,
    }),
    "dispatch": async message => ({ ...dispatchAnswer, exchange: message.exchange, body: message.body }),
    "key-query": async message => ({ ...keyAnswer, exchange: message.exchange }),
    "records-query": async message => ({
        kind: "records-answer",
        exchange: message.exchange,
        entries: [],
        nextOffset: 7,
    }),
    "goodbye": () => undefined,
};
const dispatchAnswer: schema.peer.DispatchAnswer = {
    kind: "dispatch-answer",
    exchange: 0,
    outcome: "answered",
    reason: "",
    status: 200,
    headers: [],
    body: Buffer.alloc(0),
};
const keyAnswer: schema.peer.KeyAnswer = {
    kind: "key-answer",
    exchange: 0,
    state: "running",
    status: 0,
    headers: [],
    body: Buffer.alloc(0),
};

const cleanups: (() => unknown)[] = [];

async function createListener(
    handlers: Partial<peers.PeerHandlers> = {},
    counts = new RecordingCounters(),
): Promise<peers.PeerListener> {
    const listener = await peers.listenForPeers({
        listener: { host, port: 0 },
        identity: accepterIdentity,
        peerKey,
        handlers: { ...defaultHandlers, ...handlers },
        limits,
        counters: counts,
        logger: logger.silentLogger,
    });
    cleanups.push(() => listener.close());
    return listener;
}

function createLink(port: number, changes: Partial<peers.PeerLinkOptions> = {}): peers.PeerLink {
    const created = new peers.PeerLink({
        address: { host, port },
        expected: accepterIdentity,
        identity: dialerIdentity,
        peerKey,
        limits,
        clock: () => performance.now(),
        counters: new RecordingCounters(),
        logger: logger.silentLogger,
        makeHeartbeat: () => ({ ...peerState, session: dialerIdentity.session }),
        onHeartbeatAnswer: () => undefined,
        ...changes,
    });
    cleanups.push(() => created.close());
    return created;
}

/** Waits for a condition; fails after a time that is far longer than the condition needs. */
async function waitFor(condition: () => boolean): Promise<void> {
    const timeoutAt = performance.now() + 20_000;
    while (!condition()) {
        assert.ok(performance.now() < timeoutAt, `timed out waiting for ${condition}`);
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

/** Proxy that forwards bytes. After `freeze`, established connections stop forwarding, while new ones still work. */
async function createFreezingProxy(target: number): Promise<{ port: number; freeze(): void; reset(): void; }> {
    const sockets = new Set<net.Socket>();
    let frozen = new Set<net.Socket>();
    const server = net.createServer(client => {
        const upstream = net.connect(target, host);
        client.pipe(upstream).pipe(client);
        for (const [socket, other] of [[client, upstream], [upstream, client]] as const) {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => frozen.has(other) || other.destroy());
        }
        cleanups.push(() => client.destroy(), () => upstream.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    cleanups.push(() => server.close());
    return {
        port: (server.address() as net.AddressInfo).port,
        freeze: () => {
            frozen = new Set(sockets);
            frozen.forEach(socket => socket.unpipe().pause());
        },
        reset: () => sockets.forEach(socket => socket.resetAndDestroy()),
    };
}

const suite = uvu.suite("peer link");

suite.after.each(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
});

suite("sends each kind of request and gets its response", async () => {
    const listener = await createListener();
    const connected = createLink(listener.port);
    await waitFor(() => connected.lastAliveAt !== undefined);
    assert.is(connected.state, "connected");
    const answer = (await connected.dispatch(dispatchRequest, 5000))._unsafeUnwrap();
    assert.is(Buffer.from(answer.body).toString(), "body");
    const key = await connected.queryKey({ key: "key", requestId: "request-1", waitMs: 0 }, 5000);
    assert.is(key._unsafeUnwrap().state, "running");
    assert.is((await connected.queryRecords({ from: 7 }, 5000))._unsafeUnwrap().nextOffset, 7);
});

suite("distinguishes a refused dial from a request lost with its connection", async () => {
    const listener = await createListener({ dispatch: () => new Promise(() => undefined) });
    const proxy = await createFreezingProxy(listener.port);
    const connected = createLink(proxy.port);
    await waitFor(() => connected.state === "connected");
    const pendingDispatch = connected.dispatch(dispatchRequest, 5000);
    proxy.reset();
    assert.is((await pendingDispatch)._unsafeUnwrapErr().fault, "lost");
    const gone = createLink(await findClosedPort());
    assert.is((await gone.dispatch(dispatchRequest, 5000))._unsafeUnwrapErr().fault, "unreachable");
    await waitFor(() => gone.state === "refused");
    assert.is((await gone.dispatch(dispatchRequest, 5000))._unsafeUnwrapErr().fault, "connection-refused");
});

suite("distinguishes a request that timed out from one that exceeded a send limit", async () => {
    const counts = new RecordingCounters();
    const listener = await createListener({
        dispatch: async message => {
            await new Promise(resolve => setTimeout(resolve, 100));
            return { ...dispatchAnswer, exchange: message.exchange };
        },
    });
    const proxy = await createFreezingProxy(listener.port);
    const connected = createLink(proxy.port, { counters: counts, limits: { ...limits, timeoutMs: 20_000 } });
    await waitFor(() => connected.state === "connected");
    assert.is((await connected.dispatch(dispatchRequest, 10))._unsafeUnwrapErr().fault, "timed-out");
    await waitFor(() => counts.reasons.includes("late-answer"));
    const large = { ...dispatchRequest, body: Buffer.alloc(limits.maxFrameBytes) };
    assert.is((await connected.dispatch(large, 5000))._unsafeUnwrapErr().reason, "message-too-large");
    proxy.freeze();
    const half = { ...dispatchRequest, body: Buffer.alloc(limits.maxFrameBytes / 2) };
    const many = await Promise.all(Array.from({ length: 200 }, () => connected.dispatch(half, 500)));
    const faults = many.map(outcome => outcome._unsafeUnwrapErr().fault);
    assert.equal([...new Set(faults)].sort(), ["timed-out", "unreachable"]);
    assert.is(connected.state, "connected");
});

suite("closes an unresponsive connection and continues on a new one", async () => {
    const listener = await createListener({ dispatch: () => new Promise(() => undefined) });
    const proxy = await createFreezingProxy(listener.port);
    const connected = createLink(proxy.port);
    await waitFor(() => connected.lastAliveAt !== undefined);
    const pendingDispatch = connected.dispatch(dispatchRequest, 60_000);
    proxy.freeze();
    assert.is((await pendingDispatch)._unsafeUnwrapErr().fault, "lost");
    const lostAt = performance.now();
    await waitFor(() => connected.state === "connected" && connected.lastAliveAt! > lostAt);
});

suite("rejects a wrong key on both sides", async () => {
    const counts = new RecordingCounters();
    const listener = await createListener({}, counts);
    const rejected = createLink(listener.port, { peerKey: "another key for tests" });
    await waitFor(() => counts.reasons.includes("wrong-key"));
    await waitFor(() => rejected.state === "unreachable");
    const answer = await rejected.dispatch(dispatchRequest, 5000);
    assert.is(answer._unsafeUnwrapErr().fault, "unreachable");
});

suite("rejects another session than the expected one", async () => {
    const listener = await createListener();
    const rejected = createLink(listener.port, { expected: { ...accepterIdentity, session: "session-gone" } });
    await waitFor(() => rejected.state === "strange");
    assert.is((await rejected.dispatch(dispatchRequest, 5000))._unsafeUnwrapErr().fault, "strange");
});

suite("aborts a dispatch that is cancelled or whose connection is lost", async () => {
    let aborted = 0;
    const running: AbortSignal[] = [];
    const listener = await createListener({
        dispatch: (message, _from, signal) =>
            new Promise(resolve => {
                running.push(signal);
                signal.addEventListener("abort", () => {
                    aborted += 1;
                    resolve({
                        ...dispatchAnswer,
                        exchange: message.exchange,
                        outcome: "not-run",
                        reason: "caller-gone",
                    });
                });
            }),
    });
    const connected = createLink(listener.port);
    await waitFor(() => connected.state === "connected");
    const controller = new AbortController();
    const cancelled = connected.dispatch(dispatchRequest, 5000, controller.signal);
    await waitFor(() => running.length === 1);
    controller.abort();
    assert.is((await cancelled)._unsafeUnwrap().outcome, "not-run");
    void connected.dispatch(dispatchRequest, 5000);
    await waitFor(() => running.length === 2);
    connected.close();
    await waitFor(() => aborted === 2);
});

suite("limits unauthenticated connections and still accepts peers among them", async () => {
    const counts = new RecordingCounters();
    const listener = await createListener({}, counts);
    const silentSockets = Array.from({ length: limits.maxConnections * 2 }, () => net.connect(listener.port, host));
    silentSockets.forEach(socket => socket.on("error", () => undefined));
    cleanups.push(() => silentSockets.forEach(socket => socket.destroy()));
    const left: string[] = [];
    const leaving = await createListener({ goodbye: message => left.push(message.session) }, counts);
    const connected = [listener, leaving].map(each => createLink(each.port));
    await waitFor(() => connected.every(each => each.state === "connected"));
    assert.ok(counts.reasons.includes("too-many-connections"));
    assert.ok(listener.connections <= limits.maxConnections);
    await connected[1]!.sendGoodbye();
    await waitFor(() => left.includes(dialerIdentity.session));
});

suite("survives invalid bytes, oversized frames and silent connections on the peer port", async () => {
    const counts = new RecordingCounters();
    const listener = await createListener({}, counts);
    const garbage = [
        Buffer.from("GET / HTTP/1.1\r\n\r\n"),
        Buffer.from([0, 0, 0, 2, 0xff, 0xff]),
        Buffer.from([0, 0, 0, 1, 0x01]),
        Buffer.alloc(0),
    ];
    for (const bytes of garbage) {
        const socket = net.connect(listener.port, host);
        cleanups.push(() => socket.destroy());
        socket.on("error", () => undefined);
        socket.write(bytes);
    }
    const expected = ["oversized-frame", "undecodable-frame", "wrong-schema", "handshake-timeout"];
    await waitFor(() => expected.every(reason => counts.reasons.includes(reason)));
    const connected = createLink(listener.port);
    await waitFor(() => connected.state === "connected");
    assert.is(listener.connections, 1);
});

async function findClosedPort(): Promise<number> {
    const server = net.createServer();
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const port = (server.address() as net.AddressInfo).port;
    await new Promise(resolve => server.close(resolve));
    return port;
}

suite.run();
