/** Store calls that a peer passes on, over real connections. */
import * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as testUtils from "@catkinwharf/test-utils";
import * as http from "node:http";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as store from "./index.js";

const suite = uvu.suite("store relay");
const calls = new httpCalls.HttpCalls();
const log = eventLog.createBoundedLog(() => {}, () => 0);
const servers: http.Server[] = [];
const bodies: string[] = [];

/** What the store behind the relay does with the next calls. */
let behaviour: "answers" | "breaks off" = "answers";
let coordinating = false;

async function listen(server: http.Server): Promise<string> {
    servers.push(server);
    return `127.0.0.1:${await testUtils.listen(server, 0)}`;
}

const storeAddress = await listen(http.createServer((message, response) => {
    message.on("data", (data: Buffer) => bodies.push(data.toString("latin1")));
    message.on("end", () => {
        if (behaviour === "breaks off") {
            message.socket.resetAndDestroy();
            return;
        }
        response.writeHead(200).end(JSON.stringify({ Offset: 7, End: 8 }));
    });
}));
const relayRoutes = new store.StoreRoutes(storeAddress);
const relayAddress = await listen(store.createRelay({
    storeAddress,
    calls,
    routes: relayRoutes,
    log,
    now: () => 1000,
    isCoordinating: () => coordinating,
}));

/** A client whose direct way leads nowhere. */
function createClient(): store.StoreClient {
    const routes = new store.StoreRoutes("127.0.0.1:1");
    routes.setPeers([relayAddress]);
    routes.noteFailure({ address: "127.0.0.1:1", relayed: false }, 1000, true);
    return new store.StoreClient(calls, routes, log, () => 1001);
}

suite.before.each(() => {
    behaviour = "answers";
    relayRoutes.noteSuccess({ address: storeAddress, relayed: false });
    bodies.length = 0;
});

suite("an append reaches the store byte for byte, and its answer comes back", async () => {
    const records = [{ key: "j:1", value: new Uint8Array([0, 255, 10]) }];
    const answer = await createClient().append("keyed.submissions", records);
    assert.equal(answer._unsafeUnwrap(), { kind: "stored", offset: 7, end: 8 });
    assert.is(bodies.join(""), Buffer.from(platform.storeCalls.encodeRecords(records)).toString("latin1"));
});

suite("an append that the relay passed on without an answer may have been carried out", async () => {
    behaviour = "breaks off";
    const answer = await createClient().append("keyed.submissions", [{ key: "j:1", value: new Uint8Array() }]);
    assert.is(answer._unsafeUnwrapErr().fault, store.StoreFault.unknown);
});

suite("a relay that the store doesn't serve passes nothing on, and says so", async () => {
    relayRoutes.noteFailure({ address: storeAddress, relayed: false }, 1000, false);
    const answer = await createClient().append("keyed.submissions", [{ key: "j:1", value: new Uint8Array() }]);
    assert.is(answer._unsafeUnwrapErr().fault, store.StoreFault.refused);
    assert.equal(bodies, []);
});

suite("what isn't a call to the store is not passed on", async () => {
    const call: platform.Call = { method: "GET", path: "/anything", headers: {}, body: undefined };
    assert.is((await calls.send(relayAddress, call, 1000))._unsafeUnwrap().status, store.notPassedStatus);
});

suite("a peer tells whether it coordinates; one that isn't there doesn't", async () => {
    assert.is(await store.askCoordinating(calls, relayAddress), false);
    coordinating = true;
    assert.is(await store.askCoordinating(calls, relayAddress), true);
    assert.is(await store.askCoordinating(calls, "127.0.0.1:1"), false);
});

suite.after(() => {
    servers.forEach(server => {
        server.close();
        server.closeAllConnections();
    });
    [storeAddress, relayAddress].forEach(address => calls.forget(address));
});
suite.run();
