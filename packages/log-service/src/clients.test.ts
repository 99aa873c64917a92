import * as neverthrow from "neverthrow";
import * as http from "node:http";
import type * as net from "node:net";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as appendResult from "./append-result.js";
import * as logService from "./index.js";

const bounds = { oldestOffset: 4, headOffset: 7 };
const snapshot = { id: "s5", author: "session", nextOffset: 5, hash: "hash", state: {} };

/** Responses by method and path; 404 for others. */
const responses: Readonly<Record<string, readonly [status: number, body: unknown]>> = {
    "GET /membership": [200, { asOf: 1, members: [] }],
    "GET /usage": [200, { reports: "none" }],
    "POST /instances/i-1/reboot": [200, { state: "rebooting", boot: 3 }],
    "GET /instances/i-1/reboot/r-1": [200, { state: "done", boot: 4 }],
    "POST /log/snapshots/append": [200, { firstOffset: 7, nextOffset: 8 }],
    "GET /log/snapshots?from=0&waitMs=0&limit=1": [410, bounds],
    "GET /log/snapshots?from=4&waitMs=0&limit=1": [200, { ...bounds, ...createReadAnswer(4, snapshot) }],
    "GET /log/snapshots?from=5&waitMs=0&limit=1": [200, { ...bounds, ...createReadAnswer(5, snapshot) }],
    "GET /log/snapshots?from=6&waitMs=0&limit=1": [200, { ...bounds, ...createReadAnswer(6, { id: "broken" }) }],
};

function createReadAnswer(offset: number, body: unknown): object {
    return { entries: [{ offset, appendedAt: 1, body }], nextOffset: offset + 1 };
}

const server = http.createServer((request, response) => {
    const [status, body] = responses[`${request.method} ${request.url}`] ?? [404, "unknown"];
    response.statusCode = status;
    response.end(JSON.stringify(body));
});
const suite = uvu.suite("platform clients");
let options = { url: "", timeoutMs: 5000 };

suite.before(async () => {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    options = { ...options, url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}/` };
});

suite.after(() => {
    server.close();
});

suite("reads membership, controls instances and rejects a response that doesn't match the schema", async () => {
    const membership = new logService.MembershipClient(options);
    assert.equal((await membership.read())._unsafeUnwrap(), { asOf: 1, members: [] });
    membership.close();
    const control = new logService.ControlClient(options);
    assert.is((await control.reboot("i-1", "r-1"))._unsafeUnwrap().state, "rebooting");
    assert.is((await control.readReboot("i-1", "r-1"))._unsafeUnwrap().boot, 4);
    assert.is((await control.readReboot("i-1", "r-2"))._unsafeUnwrapErr().fault, "refused");
    assert.is((await control.readUsage())._unsafeUnwrapErr().fault, "malformed");
    control.close();
});

suite("finds the newest usable snapshot, and appends one", async () => {
    assert.is((await logService.readLastSnapshot(options))._unsafeUnwrap()?.offset, 5);
    const older = await logService.readLastSnapshot(options, entry => entry.offset < 5);
    assert.is(older._unsafeUnwrap()?.offset, 4);
    const appended = await logService.appendOnce(options, logService.snapshotStream, { id: "s7" });
    assert.is(appended._unsafeUnwrap().firstOffset, 7);
});

suite("classifies the effect of an append by its response", () => {
    const classify = (status: number, body: unknown, retryAfter?: string) => {
        const response = { status, retryAfter, body: Buffer.from(JSON.stringify(body)) };
        return appendResult.classifyAppend(neverthrow.ok(response), 2);
    };
    assert.equal(classify(200, { firstOffset: 3, nextOffset: 5 }), { effect: "appended", firstOffset: 3 });
    assert.is(classify(200, { firstOffset: 3, nextOffset: 4 }).effect, "unknown");
    assert.is(classify(200, "not an object").effect, "unknown");
    assert.equal(classify(429, "", "2"), { effect: "none", reason: "status-429", retryAfterMs: 2000 });
    assert.equal(classify(503, "", "soon"), { effect: "none", reason: "status-503", retryAfterMs: undefined });
    assert.equal([400, 413].map(status => classify(status, "").effect), ["refused", "refused"]);
    assert.equal([408, 500, 504].map(status => classify(status, "").effect), ["unknown", "unknown", "unknown"]);
});

suite.run();
