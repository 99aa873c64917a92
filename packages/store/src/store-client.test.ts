/** Guards against calls that wait for a route of which another call has already shown that it doesn't work. */
import * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import type * as platform from "@catkinwharf/platform";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as store from "./index.js";

const suite = uvu.suite("store client");
const direct = "store:1";

/** A call that has no response yet. */
interface PendingCall {
    readonly address: string;
    readonly isAborted: () => boolean;
    readonly timeOut: () => void;
}

function createClient(): { readonly client: store.StoreClient; readonly pending: PendingCall[]; } {
    const pending: PendingCall[] = [];
    const error: httpCalls.CallError = {
        layer: "http-calls",
        fault: httpCalls.CallFault.unanswered,
        timedOut: true,
        onUsedConnection: false,
        reason: "timed out",
    };
    const send: httpCalls.HttpClient["send"] = (address, _call, _timeout, abort = new AbortController()) => {
        return new Promise<neverthrow.Result<platform.HttpResponse, httpCalls.CallError>>(resolve => {
            const timeOut = () => resolve(neverthrow.err(error));
            abort.signal.addEventListener("abort", timeOut);
            pending.push({ address, isAborted: () => abort.signal.aborted, timeOut });
        });
    };
    const routes = new store.StoreRoutes(direct);
    routes.setPeers([{ address: "peer:1", large: false }]);
    return { client: new store.StoreClient({ send }, routes, eventLog.silentEventLog, () => 1000), pending };
}

suite("a long poll waits on after another call over the same route has timed out", async () => {
    const { client, pending } = createClient();
    const read = client.read("t", 0, 1000);
    const append = client.append("t", []);
    assert.equal(pending.map(call => call.address), [direct, direct]);
    pending[1]!.timeOut();
    await append;
    assert.ok(pending[0]!.isAborted());
    assert.ok((await read).isErr());
    // The next poll goes through the peer; a time-out there doesn't concern other calls.
    void client.read("t", 0, 1000);
    const relayed = pending.at(-1)!;
    assert.is(relayed.address, "peer:1");
    const relayedAppend = client.append("t", []);
    pending.at(-1)!.timeOut();
    await relayedAppend;
    assert.not(relayed.isAborted());
});

suite("an append counts as stored although its answer can't be read", async () => {
    const bodies = ["", '{"Offset":5,"En', "# HELP requests_total", '{"Offset":5,"End":6}'];
    const send: httpCalls.HttpClient["send"] = () =>
        Promise.resolve(neverthrow.ok({ status: 200, body: Buffer.from(bodies.shift()!) }));
    const client = new store.StoreClient({ send }, new store.StoreRoutes(direct), eventLog.silentEventLog, () => 1000);
    for (let i = 0; i < 3; i++) {
        const answer = await client.append("t", []);
        assert.is(answer.isErr() && answer.error.fault, store.StoreFault.unknown);
    }
    assert.equal((await client.append("t", []))._unsafeUnwrap(), { kind: "stored", offset: 5, end: 6 });
});

suite.run();
