/** Guards against explanations that leave out, for people, what the document for programs says. */
import type * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as placementRendering from "./placement-rendering.js";

const suite = uvu.suite("placement rendering");

const step: types.StepExplanation = {
    occurrence: 0,
    step: 1,
    tasks: 4,
    readyTasks: 3,
    runningOn: ["s9"],
    blocker: "servers",
    waitsForSteps: [],
    stepsBefore: 7,
    allowedByQuota: 2,
    needsTicket: true,
    placements: [],
    serverCount: 12,
    lackCounts: { processor: 11, reserved: 1 },
    servers: Array.from({ length: 11 }, (_, i) => ({
        server: `s${i}`,
        lacks: i === 0 ? ["processor", "reserved"] : ["processor"],
        wait: i === 1 ? undefined : 100 * i,
        reservedFor: i === 0 ? "00000000000000bb.0.0" : undefined,
    })),
    reservation: { server: "s3", wait: 420 },
    predictedStart: 420,
};

const waiting: types.PlacementExplanation = {
    verdict: "waits",
    job: "00000000000000aa",
    status: "running",
    queue: "quotes",
    service: "dispatch",
    organisation: {
        name: "a",
        usage: { cpu: 1500, memory: 20, accelerators: 0 },
        quota: { cpu: 2000, memory: 0, accelerators: 0 },
        weight: 2,
        share: 0.046875,
        beyondRate: true,
    },
    startDelay: 30,
    nextDue: 5000,
    steps: [step],
    stepsLeftOut: 2,
};

suite("a job that waits", () => {
    const lines = placementRendering.renderExplanation(waiting).split("\n");
    assert.equal(lines.slice(0, 16), [
        "job 00000000000000aa waits (status running)",
        "queue quotes, service dispatch",
        "organisation a: committed rate 2 jobs/s, beyond it; share 0.047",
        "quota in use: cpu 1500 of 2000, memory 20 of no limit, accelerators 0 of no limit",
        "start delay of the coordinator: 30 ms",
        "next occurrence due in 5000 ms",
        "",
        "step 1 of occurrence 0: 3 of 4 tasks ready, running on s9, 7 steps before it",
        "  waits: no server has room for it and may take it",
        "  the quota lets 2 tasks start",
        "  each start needs a ticket of the advice service",
        "  has reserved s3, predicted in 420 ms",
        "  predicted start: in 420 ms",
        "  of 12 servers lack: processor 11, reserved 1",
        "  SERVER  LACKS                ROOM IN MS  RESERVED FOR",
        "  s0      processor, reserved  0           00000000000000bb.0.0",
    ]);
    assert.is(lines[16], "  s1      processor            -           -");
    assert.equal(lines.slice(-3), ["  2 more servers aren't shown", "", "2 more steps aren't shown"]);
});

suite("a submission that starts, one that is refused and a step that isn't ready", () => {
    const placements = ["s1", "s2", "s1"];
    const starts = { ...step, blocker: undefined, placements, reservation: undefined, predictedStart: 0 };
    const started = placementRendering.renderExplanation({
        ...waiting,
        verdict: "starts",
        job: undefined,
        status: undefined,
        organisation: undefined,
        steps: [starts],
    });
    assert.match(started, /^the submission can start now\nqueue quotes, service dispatch\norganisation: none\n/);
    assert.match(started, "  would start now on s1 (2), s2\n");
    const refused = placementRendering.renderExplanation({
        verdict: "refused",
        refusal: { status: 429, reason: "capacity is short", wait: 1200 },
        steps: [{ ...step, readyTasks: 0, allowedByQuota: 0, servers: [], blocker: "notReady", waitsForSteps: [0] }],
        stepsLeftOut: 0,
    });
    assert.match(refused, "the submission would be refused\nrefusal: 429, capacity is short; expected wait 1200 ms\n");
    assert.match(refused, "  waits for steps 0\n  waits: it isn't ready");
});

suite.run();
