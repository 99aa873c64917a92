/**
 * Measures how long the coordinator takes to explain a submission of eight steps, with 400 full servers and 4,100 waiting
 * steps.
 *
 * Usage: node packages/dispatch/scripts/measure-explanation.mjs
 */
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as scheduling from "@catkinwharf/scheduling";
import * as placementExplainer from "../dist/placement-explainer.js";
import * as placementPlay from "../dist/testing/placement-play.js";

const serverCount = 400;
const jobCount = 4600;
const runs = 200;
const now = 1000;

function createJob(number, stepCount) {
    const step = jobTesting.createStep({ taskCount: 8, demand: { cpu: 1500, memory: 10, accelerators: 0 } });
    return jobTesting.createJob({
        id: number.toString(16).padStart(16, "0"),
        steps: Array.from({ length: stepCount }, () => step),
        submittedAt: now,
    });
}

const servers = Array.from({ length: serverCount }, (_, i) => placementPlay.createServer(`s${i}`));
const { registry, planner } = placementPlay.createPlacing(() => now);
for (let i = 0; i < jobCount; i++) {
    const job = createJob(i, 1);
    const entry = { id: job.id, job, cancelledAt: undefined, progress: undefined };
    registry.track({ ...entry, storedStatus: undefined, storedParts: new Set() }, now);
}
planner.place(registry.listCandidates(now).get("quotes"), servers, new scheduling.QuotaUsage(new Map()));
const explainer = new placementExplainer.PlacementExplainer({
    registry,
    sessions: new Map(servers.map(server => [server.entry.id, server])),
    placer: planner,
    tickets: { listPermitted: () => [] },
    clock: { wall: () => now, monotonic: () => now },
    configuration: () => undefined,
});
const times = [];
let answer;
for (let i = 0; i < runs; i++) {
    const startedAt = performance.now();
    answer = explainer.explainSubmission(createJob(jobCount, 8));
    times.push(performance.now() - startedAt);
}
times.sort((a, b) => a - b);
const waiting = registry.listUnplaced().get("quotes").length;
console.log(`${serverCount} servers, ${waiting} waiting steps, ${answer.steps.length} steps explained, in ms:`);
console.log(
    `median ${times[runs / 2].toFixed(1)}, 99% ${times[Math.floor(runs * 0.99)].toFixed(1)}, max ${
        times.at(-1).toFixed(1)
    }`,
);
console.log(`answer: ${JSON.stringify(answer).length} bytes`);
