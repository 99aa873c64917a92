/** A process that reads too much, or repeats failed reads, must be told apart from one that waits for a slow store. */
import * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import type * as platform from "@catkinwharf/platform";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as store from "./index.js";

const suite = uvu.suite("read meter");

function createLog(): { readonly log: eventLog.EventLog; readonly lines: eventLog.Fields[]; } {
    const lines: eventLog.Fields[] = [];
    return { log: { ...eventLog.silentEventLog, info: (_event, fields) => lines.push(fields) }, lines };
}

suite("logs what was read since the last line, once it is much or a read has failed", () => {
    const { log, lines } = createLog();
    const meter = new store.ReadMeter();
    meter.recordAnswered("ledger", 65_535);
    meter.report(log);
    assert.equal(lines, []);
    meter.recordAnswered("jobs", 1);
    meter.report(log);
    meter.report(log);
    meter.recordFailed("ledger");
    meter.report(log);
    assert.equal(lines, [
        {
            bytes: 65_536,
            topics: [
                { topic: "ledger", answered: 1, failed: 0, bytes: 65_535 },
                { topic: "jobs", answered: 1, failed: 0, bytes: 1 },
            ],
        },
        { bytes: 0, topics: [{ topic: "ledger", answered: 0, failed: 1, bytes: 0 }] },
    ]);
    assert.equal(meter.totals.get("ledger"), { answered: 1, failed: 1, bytes: 65_535 });
});

suite("a client counts the bytes and failures of both kinds of read, and no appends", async () => {
    const responses: neverthrow.Result<platform.HttpResponse, httpCalls.CallError>[] = [
        neverthrow.ok({ status: 400, body: new Uint8Array(10) }),
        neverthrow.ok({ status: 503, body: new Uint8Array(20) }),
        neverthrow.ok({ status: 400, body: new Uint8Array(30) }),
        neverthrow.ok({ status: 400, body: new Uint8Array(40) }),
    ];
    const send: httpCalls.HttpClient["send"] = () => Promise.resolve(responses.shift()!);
    const routes = new store.StoreRoutes("store:1");
    const client = new store.StoreClient({ send }, routes, eventLog.silentEventLog, () => 1000);
    await client.read("t", 0, 0);
    await client.read("t", 0, 0);
    await client.readNewest("t", undefined);
    await client.append("t", []);
    assert.equal([...client.reads.totals], [["t", { answered: 2, failed: 1, bytes: 40 }]]);
});

suite.run();
