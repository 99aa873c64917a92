/** A backlog must be told apart by its cause: a busy process, a slow ledger, slow servers, or passes that take long. */
import * as eventLog from "@catkinwharf/event-log";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as loadMeter from "./load-meter.js";

const suite = uvu.suite("coordinator load");
const work = {
    activeJobs: 2,
    readyTasks: 3,
    unplacedSteps: 0,
    untriedSteps: 0,
    stepsOverQuota: 0,
    stepsOverRunLimit: 0,
    backfilledTasks: 0,
    startDelay: 0,
    runs: 4,
    reachableServers: 5,
};

suite("logs each activity's times once a second, and starts anew after that", () => {
    const lines: eventLog.Fields[] = [];
    const observed: [string, number][] = [];
    const log = { ...eventLog.silentEventLog, info: (_event: string, fields: eventLog.Fields) => lines.push(fields) };
    const meter = new loadMeter.LoadMeter(log, (activity, duration) => observed.push([activity, duration]), 0);
    meter.recordTimer(100, 100);
    meter.recordTimer(450, 100);
    meter.record("start", 20);
    meter.record("start", 40);
    meter.report(999, () => work);
    assert.is(lines.length, 0);
    meter.report(1000, () => work);
    assert.equal(lines[0], {
        span: 1000,
        ...work,
        timerDelay: { count: 1, mean: 250, max: 250 },
        pass: { count: 0, mean: 0, max: 0 },
        intent: { count: 0, mean: 0, max: 0 },
        start: { count: 2, mean: 30, max: 40 },
    });
    meter.report(2000, () => work);
    assert.equal(lines[1]!["start"], { count: 0, mean: 0, max: 0 });
    assert.equal(observed, [["timerDelay", 250], ["start", 20], ["start", 40]]);
});

suite.run();
