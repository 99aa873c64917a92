/**
 * Measures a placement pass over 400 full servers and 4,000 waiting steps: the processor time that it takes with and without
 * look-ahead placement.
 *
 * Usage: tsc -b && node packages/dispatch/scripts/measure-pass.mjs
 */
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as scheduling from "@catkinwharf/scheduling";
import * as placementPlay from "../dist/testing/placement-play.js";

const serverCount = 400;
const stepCount = 4000;
const passCount = 1500;
/** Ms between two passes. */
const interval = 10;
const chosen = scheduling.defaultReservationPolicy;
const policies = {
    "one server for the pass, as before": { ...chosen, minShare: Number.POSITIVE_INFINITY },
    "chosen": chosen,
    "conservative, binding at once": { ...chosen, maxReservations: 1000, maxAgedReservations: 1000, bindingWait: 0 },
};
/** Share of the waiting steps whose tasks are large. */
const shares = [0, 0.2, 1];

function measure(policy, largeShare) {
    let now = 0;
    const random = placementPlay.createRandom(1);
    const { registry, planner } = placementPlay.createPlacing(() => now, policy);
    const servers = Array.from({ length: serverCount }, (_, i) => placementPlay.createServer(`s${i}`));
    let lastId = 0;
    const submit = (cpu, taskCount) => {
        const id = (++lastId).toString(16).padStart(16, "0");
        const demand = { cpu, memory: 2 * cpu, accelerators: 0 };
        const steps = [jobTesting.createStep({ taskCount, estimate: 300 + 5000 * random(), demand })];
        const job = jobTesting.createJob({ id, steps, submittedAt: now });
        registry.track({ id, job, progress: undefined, storedParts: new Set() }, now);
    };
    const pass = () => {
        const candidates = registry.listCandidates(now).get("quotes") ?? [];
        const before = process.cpuUsage();
        planner.place(candidates, servers, new scheduling.QuotaUsage(new Map()));
        const { user, system } = process.cpuUsage(before);
        return (user + system) / 1000;
    };
    // About ten tasks a server, and a core that is left.
    for (let i = 0; i < serverCount; i++) {
        submit(1500, 10);
    }
    pass();
    for (let i = 0; i < stepCount; i++) {
        submit(i < largeShare * stepCount ? 5000 + Math.floor(5000 * random()) : 1100 + Math.floor(2500 * random()), 8);
    }
    const times = [];
    for (let i = 0; i < passCount; i++) {
        now += interval;
        times.push(pass());
    }
    times.sort((a, b) => a - b);
    return [0.5, 0.9, 1].map(share => times[Math.min(passCount - 1, Math.floor(share * passCount))].toFixed(2)).join(
        " / ",
    );
}

for (const largeShare of shares) {
    for (const [name, policy] of Object.entries(policies)) {
        console.log(
            `${100 * largeShare}% large steps, ${name}: median, 90% and longest pass in ms of a core ${
                measure(policy, largeShare)
            }`,
        );
    }
}
