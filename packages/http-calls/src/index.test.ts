/** Guards against responses that are discarded while they arrive, and against calls that wait for one that has stopped. */
import * as testUtils from "@catkinwharf/test-utils";
import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as workerThreads from "node:worker_threads";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as httpCalls from "./index.js";

const suite = uvu.suite("http client");
const call = { method: "GET" as const, path: "/", headers: {}, body: undefined };
/** Parts of the response that the server sends, and the time in ms between two of them. */
const partCount = 6;
const partInterval = 150;
/** Timeout in ms of a call: longer than the time between two parts, shorter than the whole response takes. */
const timeout = 600;
/** Time in ms that a response may take in addition while it keeps arriving. */
const transferTime = 10_000;
/** Time in ms after a response within which its connection can take the next call. */
const idleDelay = 50;

async function withServer(
    partsSent: number,
    use: (address: string, client: httpCalls.HttpClient) => Promise<void>,
): Promise<void> {
    const server = http.createServer((_message, response) => {
        let sent = 0;
        response.writeHead(200, { "content-length": String(partCount) });
        const timer = setInterval(() => {
            response.write("x");
            sent += 1;
            if (sent === partsSent) {
                clearInterval(timer);
            }
        }, partInterval);
    });
    const port = await testUtils.listen(server, 0);
    const address = `${testUtils.loopbackHost}:${port}`;
    const client = new httpCalls.HttpClient();
    try {
        await use(address, client);
    }
    finally {
        client.closeConnections(address);
        server.close();
        server.closeAllConnections();
    }
}

suite("a response that arrives over a slow link isn't discarded at the timeout", async () => {
    await withServer(partCount, async (address, client) => {
        const result = await client.send(address, call, timeout, undefined, transferTime);
        assert.is(result.isOk() && result.value.body.byteLength, partCount);
    });
});

suite("a response that stops arriving times out", async () => {
    await withServer(2, async (address, client) => {
        const result = await client.send(address, call, timeout, undefined, transferTime);
        assert.ok(result.isErr() && result.error.timedOut);
        assert.match(result.isErr() ? result.error.reason : "", "after 2 bytes");
    });
});

suite("a call without an allowance for slow links waits for a response that trickles", async () => {
    await withServer(partCount, async (address, client) => {
        const result = await client.send(address, call, timeout);
        assert.ok(result.isErr() && result.error.timedOut);
    });
});

suite("a call that is aborted early keeps a response that has begun to arrive, and ends without one", async () => {
    await withServer(partCount, async (address, client) => {
        const abort = new AbortController();
        setTimeout(() => abort.abort(), 2 * partInterval);
        assert.ok((await client.send(address, call, timeout, abort, transferTime)).isOk());
        const earlier = new AbortController();
        setTimeout(() => earlier.abort(), partInterval / 4);
        assert.ok((await client.send(address, call, timeout, earlier)).isErr());
    });
});

suite("a call to an address or path that can't be one throws instead of failing", async () => {
    const client = new httpCalls.HttpClient();
    for (const address of ["127.0.0.1:99999", "127.0.0.1:-4", ""]) {
        assert.ok((await client.send(address, call, timeout)).isErr());
    }
    assert.ok((await client.send("127.0.0.1:9", { ...call, path: "no path" }, timeout)).isErr());
});

suite(
    "a call that timed out waiting for a connection counts as sent, or is sent later, or its connection stays",
    async () => {
        /** Connections with a call that has no response. */
        const connections = new Set<net.Socket>();
        let received = 0;
        const server = http.createServer(({ socket }) => {
            received += 1;
            connections.add(socket);
            socket.once("close", () => connections.delete(socket));
        });
        const address = `${testUtils.loopbackHost}:${await testUtils.listen(server, 0)}`;
        const client = new httpCalls.HttpClient();
        try {
            // The last ones wait for a connection, until long after their timeout.
            const calls = Array.from(
                { length: 20 },
                (_, i) => client.send(address, call, i < 12 ? 2 * timeout : timeout),
            );
            const results = await Promise.all(calls);
            assert.ok(results.every(result => result.isErr() && result.error.timedOut));
            const faults = results.map(result => result.isErr() ? result.error.fault : undefined);
            const { unanswered, unsent } = httpCalls.CallFault;
            assert.equal(faults, [...new Array(12).fill(unanswered), ...new Array(8).fill(unsent)]);
            await timers.setTimeout(timeout);
            assert.is(received, 12);
            assert.is(connections.size, 0);
        }
        finally {
            client.closeConnections(address);
            server.close();
            server.closeAllConnections();
        }
    },
);

/** Server in another thread, since this one can't respond while it is busy. */
interface RemoteServer {
    readonly address: string;
    readonly countReceived: () => Promise<number>;
    readonly close: () => Promise<unknown>;
}

/** @param responseDelay in ms */
async function startRemoteServer(responseDelay: number): Promise<RemoteServer> {
    const worker = new workerThreads.Worker(
        `const http = require("node:http");
        const { parentPort } = require("node:worker_threads");
        let received = 0;
        const server = http.createServer((_, response) => {
            received += 1;
            setTimeout(() => response.end("x"), ${responseDelay});
        });
        server.listen(0, "${testUtils.loopbackHost}", () => parentPort.postMessage(server.address().port));
        parentPort.on("message", () => parentPort.postMessage(received));`,
        { eval: true },
    );
    const readMessage = () => new Promise<number>(resolve => worker.once("message", resolve));
    return {
        address: `${testUtils.loopbackHost}:${await readMessage()}`,
        countReceived: () => {
            const count = readMessage();
            worker.postMessage("");
            return count;
        },
        close: () => worker.terminate(),
    };
}

async function waitUntilReceived(server: RemoteServer, count: number): Promise<void> {
    while (await server.countReceived() < count) {
        await timers.setTimeout(1);
    }
}

/** Keeps the event loop from doing anything, as a pause of the process does. */
function keepBusy(duration: number): void {
    const busyUntil = performance.now() + duration;
    while (performance.now() < busyUntil) {
        // Nothing.
    }
}

for (const responseDelay of [50, 600]) {
    suite(`a response ${responseDelay} ms after a call counts as timed out, as the process was busy`, async () => {
        /** Times in ms. */
        const shortTimeout = 300;
        const busyTime = 500;
        const server = await startRemoteServer(responseDelay);
        const client = new httpCalls.HttpClient();
        try {
            assert.ok((await client.send(server.address, call, 10 * timeout)).isOk());
            await timers.setTimeout(idleDelay);
            const late = client.send(server.address, call, shortTimeout);
            await waitUntilReceived(server, 2);
            keepBusy(busyTime);
            const result = await late;
            assert.ok(result.isOk(), result.isErr() ? result.error.reason : "");
        }
        finally {
            client.closeConnections(server.address);
            await server.close();
        }
    });
}

suite("a call that a paused process hadn't sent by its timeout is sent when the process goes on", async () => {
    /** Times in ms. */
    const responseDelay = 50;
    const shortTimeout = 200;
    const pause = 500;
    const server = await startRemoteServer(responseDelay);
    const client = new httpCalls.HttpClient(1);
    try {
        const opening = client.send(server.address, call, shortTimeout);
        keepBusy(pause); // The connection is opened meanwhile.
        const unopened = await opening;
        assert.ok(unopened.isErr() && unopened.error.fault === httpCalls.CallFault.unsent);
        assert.ok((await client.send(server.address, call, shortTimeout)).isOk());
        await timers.setTimeout(idleDelay);
        const sent = client.send(server.address, call, shortTimeout);
        const waiting = client.send(server.address, call, shortTimeout);
        await waitUntilReceived(server, 2);
        keepBusy(pause); // The connection becomes free meanwhile.
        assert.ok((await sent).isOk());
        const unsent = await waiting;
        assert.ok(unsent.isErr() && unsent.error.timedOut && unsent.error.fault === httpCalls.CallFault.unsent);
        await timers.setTimeout(responseDelay);
        assert.is(await server.countReceived(), 2);
    }
    finally {
        client.closeConnections(server.address);
        await server.close();
    }
});

suite("what a call that timed out has sent arrives later, as its connection is closed and not reset", async () => {
    let ended: string | undefined;
    const server = net.createServer(socket => {
        socket.pause(); // Like a link that holds up what is sent.
        socket.once("end", () => ended = "closed");
        socket.once("error", error => ended = (error as NodeJS.ErrnoException).code);
        setTimeout(() => socket.resume(), 2 * timeout);
    });
    const port = await testUtils.listen(server, 0);
    const address = `${testUtils.loopbackHost}:${port}`;
    const client = new httpCalls.HttpClient();
    try {
        const result = await client.send(address, call, timeout);
        assert.ok(result.isErr() && result.error.timedOut && result.error.fault === httpCalls.CallFault.unanswered);
        await timers.setTimeout(2 * timeout);
        assert.is(ended, "ECONNRESET");
    }
    finally {
        client.closeConnections(address);
        server.close();
    }
});

suite("one address gets no more connections than the client was given", async () => {
    const connections = new Set<net.Socket>();
    const server = http.createServer(({ socket }, response) => {
        connections.add(socket);
        setTimeout(() => response.end(), partInterval);
    });
    const address = `${testUtils.loopbackHost}:${await testUtils.listen(server, 0)}`;
    const client = new httpCalls.HttpClient(2);
    try {
        const results = await Promise.all(Array.from({ length: 6 }, () => client.send(address, call, 10 * timeout)));
        assert.ok(results.every(result => result.isOk()));
        assert.is(connections.size, 2);
    }
    finally {
        client.closeConnections(address);
        server.close();
        server.closeAllConnections();
    }
});

suite.run();
