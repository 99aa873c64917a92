/**
 * Guards against calls through a peer's relay that are reported as refused although the store may have carried them
 * out, and against calls that the relay forwards although its own route to the store has failed.
 */
import * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as testUtils from "@catkinwharf/test-utils";
import * as http from "node:http";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as store from "./index.js";

const suite = uvu.suite("store relay");
const httpClient = new httpCalls.HttpClient();
const log = eventLog.createRateLimitedLog(() => {}, () => 0);
const servers: http.Server[] = [];
const bodies: string[] = [];

/** How the store behind the relay handles the next calls. */
let storeBehaviour: "respond" | "reset" = "respond";
let coordinating = false;

async function listen(server: http.Server): Promise<string> {
    servers.push(server);
    return `127.0.0.1:${await testUtils.listen(server, 0)}`;
}

const storeAddress = await listen(http.createServer((message, response) => {
    message.on("data", (data: Buffer) => bodies.push(data.toString("latin1")));
    message.on("end", () => {
        if (storeBehaviour === "reset") {
            message.socket.resetAndDestroy();
            return;
        }
        response.writeHead(200).end(JSON.stringify({ Offset: 7, End: 8 }));
    });
}));
const relayRoutes = new store.StoreRoutes(storeAddress);
const relayAddress = await listen(store.createRelay({
    storeAddress,
    httpClient,
    routes: relayRoutes,
    log,
    now: () => 1000,
    isCoordinating: () => coordinating,
    receiveUnstoredJobs: encoded => {
        bodies.push(Buffer.from(encoded).toString("latin1"));
        return coordinating;
    },
    explain: (encoded, forwarded) =>
        Promise.resolve({ status: forwarded ? 200 : 503, body: Uint8Array.from(encoded).reverse() }),
    answerQuestion: encoded => Promise.resolve(encoded.length > 0 ? Uint8Array.from(encoded).reverse() : undefined),
}));

/** Creates a client whose direct route has timed out. */
function createClient(): store.StoreClient {
    const routes = new store.StoreRoutes("127.0.0.1:1");
    routes.setPeers([{ address: relayAddress, large: false }]);
    routes.recordFailure({ address: "127.0.0.1:1", relayed: false }, 1000, true);
    return new store.StoreClient(httpClient, routes, log, () => 1001);
}

suite.before.each(() => {
    storeBehaviour = "respond";
    relayRoutes.recordSuccess({ address: storeAddress, relayed: false });
    bodies.length = 0;
});

suite("forwards an append to the store unchanged and returns the response", async () => {
    const records = [{ key: "j:1", value: new Uint8Array([0, 255, 10]) }];
    const result = await createClient().append("keyed.submissions", records);
    assert.equal(result._unsafeUnwrap(), { kind: "stored", offset: 7, end: 8 });
    assert.is(bodies.join(""), Buffer.from(platform.storeCalls.encodeRecords(records)).toString("latin1"));
});

suite("reports the outcome of an append as unknown when the relay received no response", async () => {
    storeBehaviour = "reset";
    const result = await createClient().append("keyed.submissions", [{ key: "j:1", value: new Uint8Array() }]);
    assert.is(result._unsafeUnwrapErr().fault, store.StoreFault.unknown);
});

suite("refuses calls without forwarding them while the relay's own route to the store has failed", async () => {
    relayRoutes.recordFailure({ address: storeAddress, relayed: false }, 1000, false);
    const result = await createClient().append("keyed.submissions", [{ key: "j:1", value: new Uint8Array() }]);
    assert.is(result._unsafeUnwrapErr().fault, store.StoreFault.refused);
    assert.equal(bodies, []);
});

suite("doesn't forward requests that aren't calls to the store", async () => {
    const call: platform.Call = { method: "GET", path: "/anything", headers: {}, body: undefined };
    assert.is((await httpClient.send(relayAddress, call, 1000))._unsafeUnwrap().status, store.notForwardedStatus);
});

suite("reports whether a peer coordinates, and false for an unreachable peer", async () => {
    assert.is(await store.probeCoordinator(httpClient, relayAddress), store.ProbeResult.denied);
    coordinating = true;
    assert.is(await store.probeCoordinator(httpClient, relayAddress), store.ProbeResult.coordinating);
    assert.is(await store.probeCoordinator(httpClient, "127.0.0.1:1"), store.ProbeResult.denied);
});

suite("passes unstored jobs on, and reports whether the peer coordinates", async () => {
    coordinating = false;
    assert.is(await store.reportUnstoredJobs(httpClient, relayAddress, new Uint8Array([1, 2])), false);
    coordinating = true;
    assert.is(await store.reportUnstoredJobs(httpClient, relayAddress, new Uint8Array([3])), true);
    assert.equal(bodies, ["\u0001\u0002", "\u0003"]);
    assert.is(await store.reportUnstoredJobs(httpClient, "127.0.0.1:1", new Uint8Array()), false);
});

suite("a request for an explanation goes to the store, or one that was passed on counts as a first one", async () => {
    bodies.length = 0;
    const forwarded = await store.forwardExplanation(httpClient, relayAddress, Buffer.from("abc"));
    assert.equal([forwarded?.status, Buffer.from(forwarded!.body).toString()], [200, "cba"]);
    const call = { method: "POST" as const, path: "/explain", headers: {}, body: Buffer.from("abc") };
    assert.is((await httpClient.send(relayAddress, call, 1000))._unsafeUnwrap().status, 503);
    assert.equal(bodies, []);
    assert.is(await store.forwardExplanation(httpClient, "127.0.0.1:1", Buffer.from("abc")), undefined);
});

suite("a question goes to the store, or a peer that can't read it or is gone counts as having answered", async () => {
    bodies.length = 0;
    const ask = (address: string, question: string) =>
        store.sendQuestion(httpClient, address, Buffer.from(question), 1000);
    assert.is(Buffer.from((await ask(relayAddress, "abc"))!).toString(), "cba");
    assert.is(await ask(relayAddress, ""), undefined);
    assert.is(await ask("127.0.0.1:1", "abc"), undefined);
    assert.equal(bodies, []);
});

suite.after(() => {
    servers.forEach(server => {
        server.close();
        server.closeAllConnections();
    });
    [storeAddress, relayAddress].forEach(address => httpClient.closeConnections(address));
});
suite.run();
