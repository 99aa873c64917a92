/** Which way to the store is used through outages, resets and cuts. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as store from "./index.js";

const suite = uvu.suite("store routes");
const direct = "store:1";
const peers = ["peer-a:1", "peer-b:1"];

function createRoutes(): store.StoreRoutes {
    const routes = new store.StoreRoutes(direct);
    routes.setPeers(peers);
    return routes;
}

suite("the direct way is used while it works, and again soon after one reset", () => {
    const routes = createRoutes();
    assert.equal(routes.choose(1000), { address: direct, relayed: false });
    routes.noteFailure(routes.choose(1000), 1000, false);
    assert.is(routes.choose(1010).relayed, true);
    assert.equal(routes.choose(1100), { address: direct, relayed: false });
});

suite("a store that goes on failing is tried more and more rarely, yet every 1.2 s", () => {
    const routes = createRoutes();
    let now = 0;
    let tries = 0;
    for (; now < 10_000; now += 10) {
        if (routes.isDirectFresh(now)) {
            tries += 1;
            routes.noteFailure({ address: direct, relayed: false }, now, false);
        }
    }
    assert.ok(tries >= 8 && tries <= 14, `${tries} tries`);
    routes.noteSuccess({ address: direct, relayed: false });
    assert.is(routes.isDirectFresh(now), true);
});

suite("a direct way that stayed silent is probed, and used again after an answer", () => {
    const routes = createRoutes();
    const way = { address: direct, relayed: false };
    assert.is(routes.takeProbe(0), undefined);
    routes.noteFailure(way, 0, true);
    for (let now = 10; now < 5000; now += 10) {
        assert.is(routes.choose(now).relayed, true, `at ${now}`);
        if (routes.takeProbe(now) !== undefined) {
            assert.is(routes.takeProbe(now + 1), undefined);
            routes.noteFailure(way, now, true);
        }
    }
    routes.noteSuccess(way);
    assert.equal(routes.choose(5000), way);
    assert.is(routes.takeProbe(6000), undefined);
});

suite("a peer that stayed silent is left alone while another answers", () => {
    const routes = createRoutes();
    routes.noteFailure({ address: direct, relayed: false }, 0, true);
    const first = routes.choose(1);
    routes.noteFailure(first, 500, true);
    for (let now = 500; now < 2900; now += 100) {
        const way = routes.choose(now);
        assert.is(way.relayed && way.address !== first.address, true, `at ${now}`);
    }
});

suite("without a fresh way the direct one is tried", () => {
    const routes = createRoutes();
    routes.noteFailure({ address: direct, relayed: false }, 0, true);
    peers.forEach(address => routes.noteFailure({ address, relayed: true }, 0, true));
    assert.equal(routes.choose(10), { address: direct, relayed: false });
});

suite.run();
