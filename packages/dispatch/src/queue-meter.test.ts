/** In a burst, where the jobs of a queue lose their time must show without a line for each job. */
import * as eventLog from "@catkinwharf/event-log";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as queueMeter from "./queue-meter.js";

const suite = uvu.suite("queue load");
const state = { queue: "quotes", waitingJobs: 3, expiredJobs: 1, begunJobs: 2, readyTasks: 9 };
const nothing = { count: 0, mean: 0, max: 0 };

suite("logs what became of each queue's jobs once a second, and starts anew after that", () => {
    const lines: eventLog.Fields[] = [];
    const log = { ...eventLog.silentEventLog, info: (_event: string, fields: eventLog.Fields) => lines.push(fields) };
    const meter = new queueMeter.QueueMeter(log, 0);
    meter.recordArrival("quotes", 20);
    meter.recordArrival("quotes", 40);
    meter.recordBegun("quotes", 300);
    meter.recordPlannedRun("quotes", 1);
    meter.recordPlannedRun("quotes", 2);
    meter.recordRunEnd("quotes", "done");
    meter.recordRunEnd("quotes", "lapsed");
    meter.recordRunEnd("quotes", "lapsed");
    meter.recordSettled("quotes", "onTime");
    meter.recordSettled("weighings", "late");
    meter.recordStored("quotes", 12);
    meter.report(999, () => [state]);
    assert.is(lines.length, 0);
    meter.report(1000, () => [state]);
    assert.equal(lines, [
        {
            span: 1000,
            ...state,
            arrived: { count: 2, mean: 30, max: 40 },
            begun: { count: 1, mean: 300, max: 300 },
            planned: 2,
            repeated: 1,
            ends: { done: 1, lapsed: 2 },
            settled: { onTime: 1 },
            stored: { count: 1, mean: 12, max: 12 },
        },
        {
            span: 1000,
            queue: "weighings",
            arrived: nothing,
            begun: nothing,
            planned: 0,
            repeated: 0,
            ends: {},
            settled: { late: 1 },
            stored: nothing,
        },
    ]);
    meter.report(2000, () => [state]);
    assert.equal(lines[2], {
        span: 1000,
        ...state,
        arrived: nothing,
        begun: nothing,
        planned: 0,
        repeated: 0,
        ends: {},
        settled: {},
        stored: nothing,
    });
});

suite.run();
