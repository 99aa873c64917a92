/**
 * Guards against submissions that are accepted after their refusal, refusals that the client can't read, and ordinary
 * connections that are closed.
 */
import * as eventLog from "@catkinwharf/event-log";
import type * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as requestGuard from "./index.js";

const suite = uvu.suite("request guard");
const host = "127.0.0.1";
const maxBodyBytes = 20_000;
const { CloseReason } = requestGuard.connectionTable;

interface Client {
    readonly socket: net.Socket;
    /** What the server has sent so far. */
    received: string;
    closed: boolean;
}

interface Setup {
    readonly guard: requestGuard.RequestGuard;
    readonly connect: () => Promise<Client>;
    /** Bodies that were read completely, and the faults of the others. */
    readonly results: string[];
}

/** Runs a server that reads the bodies of all requests but those for `/unread`. */
async function withServer(
    overrides: Partial<requestGuard.guardLimits.GuardLimits>,
    use: (setup: Setup) => Promise<void>,
): Promise<void> {
    const guard = new requestGuard.RequestGuard({
        limits: requestGuard.guardLimits.deriveLimits({ memory: undefined, descriptors: undefined }, overrides),
        log: eventLog.silentEventLog,
        now: () => performance.now(),
    });
    const results: string[] = [];
    const statuses: Readonly<Record<string, number>> = {
        "too-large": 413,
        "late": 408,
        "no-memory": 503,
    };
    const server = guard.createServer(
        requestGuard.guardLimits.Port.callers,
        () => maxBodyBytes,
        (message, response) => {
            void respond(message, response);
        },
    );
    async function respond(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        if (message.url === "/unread") {
            response.writeHead(404).end();
            return;
        }
        if (message.url === "/large") {
            response.end("x".repeat(8_000_000));
            return;
        }
        if (message.url === "/waiting") {
            await waitFor(() => message.complete);
            await timers.setTimeout(300);
        }
        const body = await guard.readBody(message, maxBodyBytes);
        if (message.url === "/slow") {
            await timers.setTimeout(200);
        }
        results.push(typeof body === "string" ? body : `${body.byteLength} bytes`);
        response.writeHead(typeof body === "string" ? statuses[body] ?? 400 : 200).end();
    }
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const { port } = server.address() as net.AddressInfo;
    const clients: Client[] = [];
    async function connect(): Promise<Client> {
        const client: Client = { socket: net.connect(port, host), received: "", closed: false };
        clients.push(client);
        client.socket.on("data", data => client.received += String(data));
        client.socket.on("error", () => undefined);
        client.socket.on("close", () => client.closed = true);
        await new Promise(resolve => client.socket.once("connect", resolve));
        return client;
    }
    try {
        await use({ guard, connect, results });
    }
    finally {
        clients.forEach(({ socket }) => socket.destroy());
        server.close();
        server.closeAllConnections();
    }
}

async function waitFor(isMet: () => boolean): Promise<void> {
    const deadline = performance.now() + 20_000;
    while (!isMet()) {
        assert.ok(performance.now() < deadline, "the condition isn't met in time");
        await timers.setTimeout(10);
    }
}

function createHead(path: string, field: string): string {
    return `POST ${path} HTTP/1.1\r\nHost: a\r\n${field}\r\n\r\n`;
}

suite(
    "a body that is refused as late isn't taken when its end arrives",
    () =>
        withServer({ bodyTimeout: 300 }, async ({ connect, results, guard }) => {
            const client = await connect();
            client.socket.write(createHead("/", "Content-Length: 10") + "12345");
            await waitFor(() => client.received.startsWith("HTTP/1.1 408"));
            client.socket.write("67890");
            await waitFor(() => client.closed);
            assert.equal(results, ["late"]);
            assert.match(client.received, /connection: close/i);
            assert.is(guard.closed.get(CloseReason.bodyTimeout), 1);
        }),
);

suite(
    "the oldest body is refused when all together exceed the budget, and a new one is read",
    () =>
        withServer({ bodyMemory: 30_000 }, async ({ connect, results }) => {
            const stalled = await connect();
            stalled.socket.write(createHead("/", "Content-Length: 20000") + "x".repeat(19_999));
            await timers.setTimeout(50);
            const later = await connect();
            later.socket.write(createHead("/", "Content-Length: 20000") + "x".repeat(20_000));
            await waitFor(() => stalled.received.startsWith("HTTP/1.1 503"));
            await waitFor(() => later.received.startsWith("HTTP/1.1 200"));
            assert.equal(results.sort(), ["20000 bytes", "no-memory"]);
        }),
);

suite(
    "a body over the limit isn't read, and its client can read the refusal before the connection closes",
    () =>
        withServer({}, async ({ connect, results }) => {
            const declared = await connect();
            declared.socket.write(createHead("/", "Content-Length: 1000000") + "x".repeat(500_000));
            const chunked = await connect();
            chunked.socket.write(createHead("/", "Transfer-Encoding: chunked") + `c350\r\n${"x".repeat(50_000)}\r\n`);
            for (const client of [declared, chunked]) {
                await waitFor(() => client.closed);
                assert.match(client.received, /^HTTP\/1.1 413[^]*connection: close/i);
            }
            assert.equal(results, ["too-large", "too-large"]);
        }),
);

suite(
    "a body in very many chunks is refused, and the rest isn't read",
    () =>
        withServer({ bodyChunks: 100 }, async ({ connect, results, guard }) => {
            const client = await connect();
            client.socket.write(createHead("/", "Transfer-Encoding: chunked") + "1\r\nx\r\n".repeat(10_000));
            await waitFor(() => client.closed);
            assert.match(client.received, /^HTTP\/1.1 503/);
            assert.equal(results, ["no-memory"]);
            assert.is(guard.closed.get(CloseReason.bodyChunks), 1);
        }),
);

suite(
    "the oldest unfinished body is closed when all together may leave too much unread, and small ones aren't",
    () =>
        withServer({ arrivingMemory: 300_000 }, async ({ connect, results, guard }) => {
            const small = await connect();
            small.socket.write(createHead("/", "Content-Length: 10") + "12345");
            await timers.setTimeout(50);
            const clients: Client[] = [];
            for (let i = 0; i < 5; i++) {
                const client = await connect();
                clients.push(client);
                client.socket.write(createHead("/", "Transfer-Encoding: chunked") + "5\r\n12345\r\n");
                await timers.setTimeout(50);
            }
            await waitFor(() => clients.filter(({ closed }) => closed).length === 3);
            small.socket.write("67890");
            clients.slice(3).forEach(({ socket }) => socket.write("0\r\n\r\n"));
            const left = [small, ...clients.slice(3)];
            await waitFor(() => left.every(({ received }) => received.startsWith("HTTP/1.1 200")));
            assert.is(guard.closed.get(CloseReason.arrivingMemory), 3);
            assert.equal(results.sort(), [
                "10 bytes",
                "5 bytes",
                "5 bytes",
                "incomplete",
                "incomplete",
                "incomplete",
            ]);
        }),
);

suite(
    "a body is left to Node while its handler waits for something else",
    () =>
        withServer({ bodyMemory: 30_000 }, async ({ connect, results }) => {
            const client = await connect();
            client.socket.write(createHead("/waiting", "Content-Length: 20000") + "x".repeat(20_000));
            await waitFor(() => client.received.startsWith("HTTP/1.1 200"));
            assert.equal(results, ["20000 bytes"]);
        }),
);

suite(
    "a handler waits forever for a body whose connection was closed meanwhile",
    () =>
        withServer({}, async ({ connect, results }) => {
            const client = await connect();
            client.socket.write(createHead("/waiting", "Content-Length: 10") + "1234567890");
            await timers.setTimeout(100);
            client.socket.destroy();
            await waitFor(() => results.length === 1);
        }),
);

suite(
    "a body that nobody reads may not be longer than any body may be",
    () =>
        withServer({}, async ({ connect, guard }) => {
            const client = await connect();
            client.socket.write(createHead("/unread", "Transfer-Encoding: chunked"));
            await waitFor(() => client.received.startsWith("HTTP/1.1 404"));
            client.socket.write(`1e848\r\n${"x".repeat(125_000)}\r\n`);
            await waitFor(() => client.closed);
            assert.is(guard.closed.get(CloseReason.bodyTooLarge), 1);
        }),
);

suite(
    "a connection stays open after a refused request of ordinary size, and while it is idle",
    () =>
        withServer({ headerTimeout: 300, bodyTimeout: 300, responseTimeout: 300 }, async ({ connect, guard }) => {
            const client = await connect();
            client.socket.write(createHead("/unread", "Content-Length: 10") + "12345");
            await waitFor(() => client.received.startsWith("HTTP/1.1 404"));
            client.socket.write("67890");
            const silent = await connect();
            await timers.setTimeout(1200);
            client.received = "";
            for (const { socket } of [client, silent]) {
                socket.write(createHead("/", "Content-Length: 2") + "{}");
            }
            await waitFor(() => [client, silent].every(({ received }) => received.startsWith("HTTP/1.1 200")));
            assert.is(guard.closed.size, 0);
            assert.is(guard.countPending(), 0);
        }),
);

suite(
    "a head that isn't complete in time, or is too large, is refused",
    () =>
        withServer({ headerTimeout: 300 }, async ({ connect }) => {
            const late = await connect();
            late.socket.write("POST / HTTP/1.1\r\nHost");
            const large = await connect();
            large.socket.write(createHead("/", `X-Field: ${"x".repeat(20_000)}`));
            await waitFor(() => late.closed && large.closed);
            assert.match(late.received, /^HTTP\/1.1 408/);
            assert.match(large.received, /^HTTP\/1.1 431/);
        }),
);

suite(
    "a client that doesn't read its response is closed, by time or by the memory that all take",
    () =>
        withServer({ responseTimeout: 300, responseMemory: 10_000_000 }, async ({ connect, guard }) => {
            for (let i = 0; i < 3; i++) {
                const client = await connect();
                client.socket.pause();
                client.socket.write(createHead("/large", "Content-Length: 0"));
            }
            await waitFor(() => (guard.closed.get(CloseReason.responseTimeout) ?? 0) > 0);
            await waitFor(() => [...guard.closed.values()].reduce((sum, count) => sum + count) === 3);
            assert.ok((guard.closed.get(CloseReason.responseMemory) ?? 0) > 0);
        }),
);

suite(
    "too many pipelined requests close the connection, and the rest of them isn't handled",
    () =>
        withServer({ pipelinedRequests: 4 }, async ({ connect, results, guard }) => {
            const client = await connect();
            client.socket.write((createHead("/slow", "Content-Length: 2") + "{}").repeat(10));
            await waitFor(() => client.closed);
            assert.is(guard.closed.get(CloseReason.tooManyPipelined), 1);
            assert.ok(results.length <= 4);
        }),
);

suite(
    "beyond the bound a new connection takes the place of the one that makes the least progress",
    () =>
        withServer({ connections: 4 }, async ({ connect, guard }) => {
            // Two connections remain for callers.
            const [stalled, idle] = [await connect(), await connect()];
            idle.socket.write(createHead("/", "Content-Length: 2") + "{}");
            await waitFor(() => idle.received !== "");
            stalled.socket.write(createHead("/", "Content-Length: 2") + "{");
            await timers.setTimeout(1200);
            const next = await connect();
            next.socket.write(createHead("/", "Content-Length: 2") + "{}");
            await waitFor(() => next.received.startsWith("HTTP/1.1 200") && stalled.closed);
            assert.not(idle.closed);
            assert.is(guard.closed.get(CloseReason.tooManyConnections), 1);
        }),
);

suite.run();
