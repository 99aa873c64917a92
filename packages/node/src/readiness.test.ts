/** A process that is ready late must tell what it waited for, and what it had read by then. */
import * as eventLog from "@catkinwharf/event-log";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as readiness from "./readiness.js";

const suite = uvu.suite("readiness");
const { Hindrance } = readiness;

suite("logs each change with its reason, and once what was read before the first readiness", () => {
    let now = 100;
    const lines: [string, eventLog.Fields][] = [];
    const log = {
        ...eventLog.silentEventLog,
        info: (event: string, fields: eventLog.Fields) => lines.push([event, fields]),
    };
    const monitor = new readiness.ReadinessLog({
        log,
        now: () => now,
        followers: [{ topic: "t", progress: { records: 7, loadTime: 250 } }],
        reads: { totals: new Map([["t", { answered: 2, failed: 1, bytes: 90 }]]) },
    });
    const states = [[Hindrance.submissions], [Hindrance.submissions], [], [Hindrance.store], [], []];
    for (const state of states) {
        monitor.update(state);
        now += 200;
    }
    const list = (name: string): eventLog.Fields[] =>
        lines.flatMap(([event, fields]) => event === name ? [fields] : []);
    assert.equal(list("first-ready"), [
        { after: 400, topics: [{ topic: "t", records: 7, bytes: 90, failed: 1, took: 250 }] },
    ]);
    assert.equal(list("readiness-changed").map(line => [line["ready"], line["hindrances"], line["lasted"]]), [
        [false, [Hindrance.submissions], 0],
        [true, [], 400],
        [false, [Hindrance.store], 200],
        [true, [], 200],
    ]);
});

suite.run();
