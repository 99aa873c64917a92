/** For whom jobs beyond the committed rate leave gaps empty, and for how long at most. */
import * as jobState from "@catkinwharf/job-state";
import * as testing from "@catkinwharf/job-state/testing";
import * as scheduling from "@catkinwharf/scheduling";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as jobRegistry from "./job-registry.js";
import * as rateHold from "./rate-hold.js";
import type * as session from "./server-session.js";

const suite = uvu.suite("rate hold");

interface Waiting {
    readonly rank?: Partial<scheduling.Rank>;
    readonly step?: Partial<jobState.Step>;
    /** Cores that the organisation within its rate may use; 0 for no limit. */
    readonly quota?: number;
}

function createCandidate(
    organisation: string,
    step: Partial<jobState.Step>,
    rank: Partial<scheduling.Rank>,
): jobRegistry.Candidate {
    const job = testing.createJob({ id: "00000000000000aa", organisation, steps: [testing.createStep(step)] });
    return {
        active: { job },
        ready: { occurrence: 0, step: 0, tasks: [0], alone: false },
        rank: {
            longRunning: false,
            priority: 0,
            timeliness: scheduling.Timeliness.onTime,
            beyondRate: false,
            begun: false,
            share: 0,
            slack: 500,
            ...rank,
        },
    } as unknown as jobRegistry.Candidate;
}

/** Whether a job beyond the rate is tried while one of 8 cores within it waits; the server has 4 of 16 cores free. */
function isTried({ rank = {}, step = {}, quota = 0 }: Waiting): boolean {
    const within = createCandidate("small", { demand: { cpu: 8000, memory: 0, accelerators: 0 }, ...step }, rank);
    const beyond = createCandidate("large", {}, { beyondRate: true });
    const load = {
        acceptsTasks: true,
        freeCpu: 4000,
        freeMemory: 100,
        freeAccelerators: 0,
        endingCpu: 12_000,
        endingMemory: 0,
        endingAccelerators: 0,
    };
    const usage = new scheduling.QuotaUsage(new Map([["small", { cpu: 1000 * quota, memory: 0, accelerators: 0 }]]));
    usage.add("small", { cpu: 1000, memory: 0, accelerators: 0 });
    const tried: jobRegistry.Candidate[] = [];
    rateHold.placeByRate([within, beyond], [{ load } as unknown as session.ServerSession], usage, candidates => {
        tried.push(...candidates);
        return [];
    });
    assert.ok(tried.includes(within));
    return tried.includes(beyond);
}

suite("a small task beyond the rate takes the gap that a larger one within its rate waits for", () => {
    assert.not(isTried({}));
});

suite("jobs beyond the rate wait for a step that waiting doesn't help, that its quota holds back, or that fits", () => {
    assert.ok(isTried({ step: { demand: { cpu: 32_000, memory: 0, accelerators: 0 } } }));
    assert.ok(isTried({ quota: 2 }));
    assert.ok(isTried({ step: { demand: { cpu: 2000, memory: 0, accelerators: 0 } } }));
});

suite("a gap stays empty for the whole slack of a long job, or for one that is late", () => {
    assert.ok(isTried({ rank: { slack: 5000 } }));
    assert.ok(isTried({ rank: { slack: -1500, begun: true } }));
    assert.ok(isTried({ rank: { timeliness: scheduling.Timeliness.late } }));
});

suite.run();
