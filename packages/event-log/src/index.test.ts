/** Rate limit of log lines: lines above the limit are dropped, and their number is logged. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as eventLog from "./index.js";

const suite = uvu.suite("event log");

suite("limits the lines of each event name per second, and logs the number of dropped lines", () => {
    let now = 0;
    const lines: { event: string; fields: eventLog.Fields; }[] = [];
    const log = eventLog.createRateLimitedLog((_level, event, fields) => lines.push({ event, fields }), () => now);
    for (let i = 0; i < 120; i++) {
        log.info("busy", { i });
    }
    log.warn("rare", {});
    assert.is(lines.filter(line => line.event === "busy").length, 50);
    assert.is(lines.filter(line => line.event === "rare").length, 1);
    assert.is(log.counts.get("busy"), 120);
    now = 1000;
    log.info("busy", {});
    const report = lines.find(line => line.event === "log-lines-dropped");
    assert.equal(report?.fields, { of: "busy", dropped: 70, second: 0 });
    assert.is(lines.at(-1)?.event, "busy");
});

suite.run();
