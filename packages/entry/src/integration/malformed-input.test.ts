/** Malformed, truncated and oversized input and wrong operator keys on all ports of an entry process. */
import * as bench from "@catkinwharf/bench";
import * as testUtils from "@catkinwharf/test-utils";
import * as fs from "node:fs";
import * as net from "node:net";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 1;
const suite = uvu.suite(`malformed input (seed ${seed})`);

const Port = { callers: "callers", operators: "operators", peers: "peers" } as const;
type Port = (typeof Port)[keyof typeof Port];

/** Input, and the expected response and counter. */
interface MalformedInput {
    readonly name: string;
    readonly port: Port;
    readonly text: string;
    /** Pattern of the response; `/^/` matches any. */
    readonly answer: RegExp;
    /** Counter that must increase, with its reason. */
    readonly counter: readonly [name: string, reason: string];
}

const callersCounter = ["bad_input", "callers"] as const;
const operatorsCounter = ["bad_input", "operators"] as const;
const operatorKeyCounter = ["bad_input", "operator-key"] as const;
const peerClosedCounter = ["peer_events", "peer_listener_closed"] as const;
const operatorKeyPlaceholder = "<operator key>";
const tooLarge = 2_000_000;

function createHead(requestLine: string, ...headers: readonly string[]): string {
    return [`${requestLine} HTTP/1.1`, "host: x", "connection: close", ...headers, "", ""].join("\r\n");
}

const authorizationHeader = `authorization: Bearer ${operatorKeyPlaceholder}`;
const servicePath = "/v1/services/previews/a";

const inputs: readonly MalformedInput[] = [
    {
        name: "bytes that are not HTTP",
        port: "callers",
        text: "\0\x01garbage\r\n\r\n",
        answer: /^HTTP\/1.1 400/,
        counter: callersCounter,
    },
    {
        name: "an incomplete head",
        port: "callers",
        text: "GET /v1/services/previews/ HTTP/1.1\r\nho",
        answer: /^HTTP\/1.1 400/,
        counter: callersCounter,
    },
    {
        name: "an oversized head",
        port: "callers",
        text: createHead(`GET ${servicePath}`, `x: ${"y".repeat(30_000)}`),
        answer: /^HTTP\/1.1 431/,
        counter: callersCounter,
    },
    {
        name: "an oversized body",
        port: "callers",
        text: createHead(`PUT ${servicePath}`, `content-length: ${tooLarge}`),
        answer: /^HTTP\/1.1 413[^]*body-too-large/,
        counter: ["requests", "not-run:body-too-large"],
    },
    {
        name: "an oversized chunked body",
        port: "callers",
        text: `${createHead(`PUT ${servicePath}`, "transfer-encoding: chunked")}1e8480\r\n${"x".repeat(tooLarge)}`,
        answer: /^HTTP\/1.1 413[^]*body-too-large/,
        counter: ["requests", "not-run:body-too-large"],
    },
    {
        name: "a truncated body",
        port: "callers",
        text: `${createHead(`PUT ${servicePath}`, "content-length: 10")}abc`,
        answer: /^(HTTP\/1.1 4|$)/,
        counter: ["requests", "not-run:caller-gone"],
    },
    {
        name: "bytes that are not HTTP after a running request",
        port: "callers",
        text: `GET ${servicePath} HTTP/1.1\r\nhost: x\r\nstand-in-service-ms: 500\r\n\r\ngarbage\r\n\r\n`,
        answer: /^$/,
        counter: callersCounter,
    },
    {
        name: "a malformed escape in a key",
        port: "callers",
        text: createHead("GET /v1/requests/%ZZ"),
        answer: /^HTTP\/1.1 400/,
        counter: callersCounter,
    },
    {
        name: "a malformed escape in a service",
        port: "callers",
        text: createHead("GET /v1/services/%ZZ/"),
        answer: /^HTTP\/1.1 404/,
        counter: ["requests", "not-run:service-unknown"],
    },
    {
        name: "bytes that are not HTTP",
        port: "operators",
        text: "garbage\r\n\r\n",
        answer: /^HTTP\/1.1 400/,
        counter: operatorsCounter,
    },
    {
        name: "no operator key",
        port: "operators",
        text: createHead("GET /operator/status"),
        answer: /^HTTP\/1.1 401/,
        counter: operatorKeyCounter,
    },
    {
        name: "a wrong operator key",
        port: "operators",
        text: createHead("GET /operator/status", "authorization: Bearer 0123456789abcdef"),
        answer: /^HTTP\/1.1 401/,
        counter: operatorKeyCounter,
    },
    {
        name: "a body that is not JSON",
        port: "operators",
        text: `${createHead("POST /operator/profiles", authorizationHeader, "content-length: 3")}{"a`,
        answer: /^HTTP\/1.1 422[^]*not JSON/,
        counter: operatorsCounter,
    },
    {
        name: "an oversized body",
        port: "operators",
        text: createHead("POST /operator/profiles", authorizationHeader, `content-length: ${tooLarge}`),
        answer: /^HTTP\/1.1 4(13|22)/,
        counter: operatorsCounter,
    },
    {
        name: "JSON that doesn't match the schema",
        port: "operators",
        text: `${createHead("POST /operator/configurations", authorizationHeader, "content-length: 12")}{"a":[null]}`,
        answer: /^HTTP\/1.1 422/,
        counter: ["operator_calls", "invalid"],
    },
    {
        name: "a malformed escape",
        port: "operators",
        text: createHead("DELETE /operator/stops/%ZZ", authorizationHeader),
        answer: /^HTTP\/1.1 4/,
        counter: operatorsCounter,
    },
    {
        name: "a malformed escape in an instance to explain",
        port: "operators",
        text: createHead("GET /operator/explain/instances/%ZZ", authorizationHeader),
        answer: /^HTTP\/1.1 4/,
        counter: operatorsCounter,
    },
    { name: "an HTTP request", port: "peers", text: createHead("GET /"), answer: /^/, counter: peerClosedCounter },
    {
        name: "an oversized frame",
        port: "peers",
        text: "\x7f\xff\xff\xff\x7f\xff\xff\xff",
        answer: /^/,
        counter: peerClosedCounter,
    },
    {
        name: "an undecodable frame",
        port: "peers",
        text: "\0\0\0\x04\xff\xff\xff\xff",
        answer: /^/,
        counter: peerClosedCounter,
    },
];

suite("rejects and counts each malformed input, and goes on serving", () =>
    runSingleEntrySession(async session => {
        for (const input of inputs) {
            const [name, reason] = input.counter;
            const before = await bench.readCounter(session.running, name, reason);
            const answer = await send(
                session,
                input.port,
                input.text.replace(operatorKeyPlaceholder, session.running.operatorKey),
            );
            assert.match(answer, input.answer, `${input.port}: ${input.name}`);
            await waitForCounter(session, input, before);
        }
        await checkServing(session);
    }));

suite("goes on serving after random bytes on each port", () =>
    runSingleEntrySession(async session => {
        for (const port of Object.values(Port)) {
            for (let round = 0; round < 60; round++) {
                const length = session.random.nextBelow(400);
                const bytes = Array.from({ length }, () => String.fromCharCode(session.random.nextBelow(256)));
                await send(session, port, bytes.join(""));
            }
        }
        await checkServing(session);
    }));

/** Runs a test with one entry instance in one availability zone. */
function runSingleEntrySession(use: (session: bench.Session) => Promise<void>): Promise<void> {
    const small = testUtils.createSmallDeployment(1);
    const deployment = { ...small, availabilityZones: small.availabilityZones.slice(0, 1) };
    return bench.runSession({ launch: { deployment }, seed, maxAttempts: 1 }, use);
}

async function checkServing(session: bench.Session): Promise<void> {
    const calls = await bench.callBatch(session, { count: 8, concurrency: 4 });
    assert.equal(bench.listFinalOutcomes(calls), ["answered 200"]);
    assert.ok((await bench.createOperatorClient(session.running).readStatus()).ready);
}

/** Polls the counter, because it may increase just after the response was sent. */
async function waitForCounter(session: bench.Session, input: MalformedInput, before: number): Promise<void> {
    const [name, reason] = input.counter;
    const end = performance.now() + 5_000;
    while (await bench.readCounter(session.running, name, reason) <= before) {
        assert.ok(performance.now() < end, `${input.port}: ${input.name} is not counted`);
    }
}

/** Sends bytes, closes the sending side and returns everything that was received. */
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
