/** Garbage, cut and oversized input, and wrong keys, on all ports of a real process. */
import * as bench from "@catkinwharf/bench";
import * as testUtils from "@catkinwharf/test-utils";
import * as fs from "node:fs";
import * as net from "node:net";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 1;
const suite = uvu.suite(`garbage (seed ${seed})`);

const Port = { callers: "callers", operators: "operators", peers: "peers" } as const;
type Port = (typeof Port)[keyof typeof Port];

/** Input, and what must come back. */
interface BadInput {
    readonly name: string;
    readonly port: Port;
    readonly text: string;
    /** Beginning of the answer; any if undefined. */
    readonly answer: RegExp;
    /** Counter that must rise, with its reason. */
    readonly counter: readonly [name: string, reason: string];
}

const callers = ["bad_input", "callers"] as const;
const operators = ["bad_input", "operators"] as const;
const operatorKey = ["bad_input", "operator-key"] as const;
const peerClosed = ["peer_events", "peer_listener_closed"] as const;
const keyPlace = "<operator key>";
const bigNumber = 2_000_000;

function head(line: string, ...fields: readonly string[]): string {
    return [`${line} HTTP/1.1`, "host: x", "connection: close", ...fields, "", ""].join("\r\n");
}

const auth = `authorization: Bearer ${keyPlace}`;
const service = "/v1/services/previews/a";

const inputs: readonly BadInput[] = [
    { name: "no HTTP", port: "callers", text: "\0\x01garbage\r\n\r\n", answer: /^HTTP\/1.1 400/, counter: callers },
    {
        name: "half a head",
        port: "callers",
        text: "GET /v1/services/previews/ HTTP/1.1\r\nho",
        answer: /^HTTP\/1.1 400/,
        counter: callers,
    },
    {
        name: "an oversized head",
        port: "callers",
        text: head(`GET ${service}`, `x: ${"y".repeat(30_000)}`),
        answer: /^HTTP\/1.1 431/,
        counter: callers,
    },
    {
        name: "an oversized body",
        port: "callers",
        text: head(`PUT ${service}`, `content-length: ${bigNumber}`),
        answer: /^HTTP\/1.1 413[^]*body-too-large/,
        counter: ["requests", "not-run:body-too-large"],
    },
    {
        name: "an oversized chunked body",
        port: "callers",
        text: `${head(`PUT ${service}`, "transfer-encoding: chunked")}1e8480\r\n${"x".repeat(bigNumber)}`,
        answer: /^HTTP\/1.1 413[^]*body-too-large/,
        counter: ["requests", "not-run:body-too-large"],
    },
    {
        name: "a cut body",
        port: "callers",
        text: `${head(`PUT ${service}`, "content-length: 10")}abc`,
        answer: /^(HTTP\/1.1 4|$)/,
        counter: ["requests", "not-run:caller-gone"],
    },
    {
        name: "no HTTP after a request that runs",
        port: "callers",
        text: `GET ${service} HTTP/1.1\r\nhost: x\r\nstand-in-service-ms: 500\r\n\r\ngarbage\r\n\r\n`,
        answer: /^$/,
        counter: callers,
    },
    {
        name: "a malformed escape in a key",
        port: "callers",
        text: head("GET /v1/requests/%ZZ"),
        answer: /^HTTP\/1.1 400/,
        counter: callers,
    },
    {
        name: "a malformed escape in a service",
        port: "callers",
        text: head("GET /v1/services/%ZZ/"),
        answer: /^HTTP\/1.1 404/,
        counter: ["requests", "not-run:service-unknown"],
    },
    { name: "no HTTP", port: "operators", text: "garbage\r\n\r\n", answer: /^HTTP\/1.1 400/, counter: operators },
    {
        name: "no key",
        port: "operators",
        text: head("GET /operator/status"),
        answer: /^HTTP\/1.1 401/,
        counter: operatorKey,
    },
    {
        name: "a wrong key",
        port: "operators",
        text: head("GET /operator/status", "authorization: Bearer 0123456789abcdef"),
        answer: /^HTTP\/1.1 401/,
        counter: operatorKey,
    },
    {
        name: "a body that is not JSON",
        port: "operators",
        text: `${head("POST /operator/profiles", auth, "content-length: 3")}{"a`,
        answer: /^HTTP\/1.1 422[^]*not JSON/,
        counter: operators,
    },
    {
        name: "an oversized body",
        port: "operators",
        text: head("POST /operator/profiles", auth, `content-length: ${bigNumber}`),
        answer: /^HTTP\/1.1 4(13|22)/,
        counter: operators,
    },
    {
        name: "JSON of another shape",
        port: "operators",
        text: `${head("POST /operator/configurations", auth, "content-length: 12")}{"a":[null]}`,
        answer: /^HTTP\/1.1 422/,
        counter: ["operator_calls", "invalid"],
    },
    {
        name: "a malformed escape",
        port: "operators",
        text: head("DELETE /operator/stops/%ZZ", auth),
        answer: /^HTTP\/1.1 4/,
        counter: operators,
    },
    {
        name: "a malformed escape to explain",
        port: "operators",
        text: head("GET /operator/explain/instances/%ZZ", auth),
        answer: /^HTTP\/1.1 4/,
        counter: operators,
    },
    { name: "HTTP", port: "peers", text: head("GET /"), answer: /^/, counter: peerClosed },
    { name: "a huge frame", port: "peers", text: "\x7f\xff\xff\xff\x7f\xff\xff\xff", answer: /^/, counter: peerClosed },
    {
        name: "an undecodable frame",
        port: "peers",
        text: "\0\0\0\x04\xff\xff\xff\xff",
        answer: /^/,
        counter: peerClosed,
    },
];

suite("refuses each clearly, counts it, and goes on serving", () =>
    runGarbageSession(async session => {
        for (const input of inputs) {
            const [name, reason] = input.counter;
            const before = await bench.readCounter(session.running, name, reason);
            const answer = await send(session, input.port, input.text.replace(keyPlace, session.running.operatorKey));
            assert.match(answer, input.answer, `${input.port}: ${input.name}`);
            await waitForCounter(session, input, before);
        }
        await checkServing(session);
    }));

suite("survives random bytes on each port", () =>
    runGarbageSession(async session => {
        for (const port of Object.values(Port)) {
            for (let round = 0; round < 60; round++) {
                const length = session.random.nextBelow(400);
                const bytes = Array.from({ length }, () => String.fromCharCode(session.random.nextBelow(256)));
                await send(session, port, bytes.join(""));
            }
        }
        await checkServing(session);
    }));

/** One entry instance in one availability zone. */
function runGarbageSession(use: (session: bench.Session) => Promise<void>): Promise<void> {
    const small = testUtils.createSmallDeployment(1);
    const deployment = { ...small, availabilityZones: small.availabilityZones.slice(0, 1) };
    return bench.runSession({ launch: { deployment }, seed, maxAttempts: 1 }, use);
}

async function checkServing(session: bench.Session): Promise<void> {
    const calls = await bench.callBatch(session, { count: 8, parallel: 4 });
    assert.equal(bench.describeFinals(calls), ["answered 200"]);
    assert.ok((await bench.createOperator(session.running).readStatus()).ready);
}

/** Counters may rise just after the answer was sent. */
async function waitForCounter(session: bench.Session, input: BadInput, before: number): Promise<void> {
    const [name, reason] = input.counter;
    const end = performance.now() + 5_000;
    while (await bench.readCounter(session.running, name, reason) <= before) {
        assert.ok(performance.now() < end, `${input.port}: ${input.name} is not counted`);
    }
}

/** Sends bytes, ends the sending side, and returns all that comes back. */
function send(session: bench.Session, port: Port, text: string): Promise<string> {
    return new Promise(resolve => {
        let answer = "";
        const socket = net.connect({ host: "127.0.0.1", port: findPort(session, port), allowHalfOpen: true });
        socket.on("data", data => answer += data.toString("latin1"));
        socket.on("error", () => undefined);
        socket.on("end", () => socket.destroy());
        socket.on("close", () => resolve(answer));
        socket.end(Buffer.from(text, "latin1"));
    });
}

function findPort(session: bench.Session, port: Port): number {
    const entry = session.running.entries[0]!;
    const urls = { callers: entry.callerUrl, operators: entry.operatorUrl };
    return port === "peers" ? readPeerPort(entry.settingsFile) : Number(new URL(urls[port]).port);
}

function readPeerPort(settingsFile: string): number {
    const settings = JSON.parse(fs.readFileSync(settingsFile, "utf8")) as { peers: { port: number; }; };
    return settings.peers.port;
}

suite.run();
