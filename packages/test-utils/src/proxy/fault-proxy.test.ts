import * as net from "node:net";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as testUtils from "../index.js";

const script = path.resolve(import.meta.dirname, "../bin/fault-proxy.js");
const sockets = new Set<net.Socket>();
const handle = testUtils.startProcess(script, JSON.stringify({ routes: [] }));
let received = 0;

const echo = net.createServer(socket => {
    socket.on("error", () => {});
    socket.on("data", data => {
        received += data.length;
        socket.write(data);
    });
});

function waitForEvent(emitter: net.Socket | net.Server, event: string): Promise<unknown> {
    return new Promise((resolve, reject) => {
        emitter.once(event, resolve);
        emitter.once("error", event === "close" ? () => {} : reject);
        emitter.once("close", resolve);
    });
}

async function addRoute(name: string, delayMs?: number): Promise<number> {
    const { port } = echo.address() as net.AddressInfo;
    const proxy = await handle.ready as testUtils.ProxyPorts;
    return testUtils.putRoute(proxy, { name, targetHost: "127.0.0.1", targetPort: port, delayMs });
}

async function setFaults(faults: testUtils.RouteFaultChange): Promise<void> {
    await testUtils.setFaults((await handle.ready as testUtils.ProxyPorts).controlPort, faults);
}

async function connect(port: number, localAddress?: string): Promise<net.Socket> {
    const socket = net.connect({ host: "127.0.0.1", port, localAddress });
    sockets.add(socket);
    socket.setMaxListeners(0);
    socket.on("error", () => {});
    await waitForEvent(socket, "connect");
    return socket;
}

async function exchange(socket: net.Socket, text: string): Promise<string> {
    socket.write(text);
    let answer = "";
    while (answer.length < text.length) {
        answer += String(await waitForEvent(socket, "data"));
        assert.not(socket.destroyed, "the connection was closed");
    }
    return answer;
}

/** Asserts that a connection receives nothing while exchanges on a working connection succeed. */
async function assertBlackholed(blackholed: net.Socket, working: net.Socket): Promise<void> {
    let receivedBytes = 0;
    blackholed.on("data", data => receivedBytes += data.length);
    blackholed.write("lost");
    for (let round = 0; round < 5; round++) {
        assert.is(await exchange(working, "heard"), "heard");
    }
    assert.equal([receivedBytes, blackholed.destroyed], [0, false]);
}

const suite = uvu.suite("fault proxy");

suite.before(async () => {
    echo.listen(0, "127.0.0.1");
    await waitForEvent(echo, "listening");
});

suite("listens on ports below the ephemeral range, so that it can listen on them again", async () => {
    for (const index of [1, 2, 3]) {
        const port = await addRoute(`reopenable-${index}`);
        const outgoing = await connect(port);
        assert.ok(port < (outgoing.localPort ?? 0), `${port} < ${outgoing.localPort}`);
    }
});

suite("forwards in order with a delay", async () => {
    const socket = await connect(await addRoute("delayed", 2));
    const text = Array.from({ length: 500 }, (_, index) => index).join(" ");
    assert.is(await exchange(socket, text), text);
});

suite("freezes open connections permanently while new ones work", async () => {
    const port = await addRoute("frozen");
    const frozen = await connect(port);
    await exchange(frozen, "before");
    await setFaults({ route: "frozen", freeze: true });
    await assertBlackholed(frozen, await connect(port));
});

suite("black-holes connections by source, and keeps them black-holed after the fault is cleared", async () => {
    const port = await addRoute("peer/one");
    const blocked = await connect(port, "127.0.2.1");
    const allowed = await connect(port, "127.0.1.1");
    await exchange(blocked, "before");
    await setFaults({ route: "peer/*", blackholeFrom: ["127.0.2."] });
    await assertBlackholed(blocked, allowed);
    await assertBlackholed(await connect(port, "127.0.2.1"), allowed);
    await setFaults({ route: "peer/*", blackholeFrom: [] });
    await assertBlackholed(blocked, await connect(port, "127.0.2.1"));
});

suite("loses a response after the request has arrived", async () => {
    const socket = await connect(await addRoute("lossy"));
    await exchange(socket, "kept");
    await setFaults({ route: "lossy", loseAnswer: 1 });
    const before = received;
    socket.write("lost");
    await waitForEvent(socket, "close");
    assert.is(received, before + 4);
});

suite("refuses new connections and resets open ones", async () => {
    const port = await addRoute("refused");
    const open = await connect(port);
    // The kernel connects before the proxy accepts; a connection that it hasn't accepted yet is refused like new ones.
    assert.is(await exchange(open, "accepted"), "accepted");
    await setFaults({ route: "refused", refuse: true });
    assert.is(await exchange(open, "still"), "still");
    const refusal = await connect(port).then(() => undefined, (error: NodeJS.ErrnoException) => error.code);
    assert.is(refusal, "ECONNREFUSED");
    const closed = waitForEvent(open, "close");
    await setFaults({ route: "refused", refuse: false, cut: true });
    await closed;
    assert.is(await exchange(await connect(port), "again"), "again");
});

suite.after(async () => {
    sockets.forEach(socket => socket.destroy());
    echo.close();
    await testUtils.killProcesses([handle]);
});
suite.run();
