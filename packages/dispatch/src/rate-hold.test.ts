/** For whom jobs beyond the committed rate leave gaps empty, and for how long at most. */
import * as jobState from "@catkinwharf/job-state";
import * as testing from "@catkinwharf/job-state/testing";
import * as scheduling from "@catkinwharf/scheduling";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as jobRegistry from "./job-registry.js";
import * as rateHold from "./rate-hold.js";
import type * as session from "./server-session.js";
import * as placementPlay from "./testing/placement-play.js";

const suite = uvu.suite("rate hold");

interface Waiting {
    readonly rank?: Partial<scheduling.Rank>;
    readonly step?: Partial<jobState.Step>;
    /** Cores that the organisation within its rate may use; 0 for no limit. */
    readonly quota?: number;
    readonly labels?: readonly string[];
}

function createCandidate(
    organisation: string,
    step: Partial<jobState.Step>,
    rank: Partial<scheduling.Rank>,
): jobRegistry.Candidate {
    const job = testing.createJob({ id: "00000000000000aa", organisation, steps: [testing.createStep(step)] });
    return {
        active: { job },
        ready: { occurrence: 0, step: 0, tasks: jobState.IndexRanges.of([0]), alone: false },
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
function isTried({ rank = {}, step = {}, quota = 0, labels = [] }: Waiting): boolean {
    const within = createCandidate("small", { demand: { cpu: 8000, memory: 0, accelerators: 0 }, ...step }, rank);
    const beyond = createCandidate("large", {}, { beyondRate: true });
    const load = {
        labels,
        runCountByStep: new Map(),
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

suite("jobs beyond the rate wait for a step that may not run on any of the servers", () => {
    const requiredLabel = "fast-disk";
    assert.not(isTried({ step: { requiredLabel }, labels: [requiredLabel] }));
    assert.ok(isTried({ step: { requiredLabel } }));
});

suite("a task beyond the rate starts on a server that a step within its rate has just reserved", () => {
    const { registry, planner, manager } = placementPlay.createPlacing(() => 0);
    const servers = [placementPlay.createServer("s0"), placementPlay.createServer("s1")];
    const usage = new scheduling.QuotaUsage(new Map());
    let lastId = 0;
    const submit = (cpu: number, estimate: number, organisation: string) => {
        const id = (++lastId).toString(16).padStart(16, "0");
        const step = testing.createStep({ taskCount: 1, estimate, demand: { cpu, memory: 10, accelerators: 0 } });
        const job = testing.createJob({ id, organisation, steps: [step], submittedAt: 0 });
        registry.track({
            id,
            job,
            cancelledAt: undefined,
            progress: undefined,
            storedStatus: undefined,
            storedParts: new Set(),
        }, 0);
    };
    const place = () => {
        const candidates = (registry.listCandidates(0).get("quotes") ?? [])
            .map(one => ({ ...one, rank: { ...one.rank, beyondRate: one.active.job.organisation === "large" } }))
            .sort((a, b) => scheduling.compareRanks(a.rank, b.rank));
        const planned = rateHold.placeByRate(
            candidates,
            servers,
            usage,
            part => planner.place(part, servers, usage, Number.POSITIVE_INFINITY, candidates),
        );
        planned.forEach(({ server, run }) => void manager.start(server, run));
        return planned.map(({ server }) => server.entry.id);
    };
    // Each server has 2 cores left, one of them until 9 s, the other one until 20 s.
    submit(14_000, 9000, "small");
    submit(14_000, 20_000, "small");
    assert.is(place().length, 2);
    submit(15_000, 10_000, "small");
    submit(2000, 30_000, "large");
    submit(2000, 30_000, "large");
    const started = place();
    assert.is(started.length, 1);
    const reserved = servers.filter(({ load }) => load.reservation !== undefined).map(({ entry }) => entry.id);
    assert.is(reserved.length, 1);
    assert.not(started.includes(reserved[0]!));
});

/** Number of looks at a server's room while 200 tasks of 8 cores within the rate wait for one of 100 servers. */
function countLooks(quota: number, endingCpu: number): number {
    let looks = 0;
    const load = {
        labels: [],
        runCountByStep: new Map(),
        get acceptsTasks() {
            looks += 1;
            return true;
        },
        freeCpu: 4000,
        freeMemory: 100,
        freeAccelerators: 0,
        endingCpu,
        endingMemory: 0,
        endingAccelerators: 0,
    };
    const usage = new scheduling.QuotaUsage(new Map([["small", { cpu: 1000 * quota, memory: 0, accelerators: 0 }]]));
    usage.add("small", { cpu: 1000, memory: 0, accelerators: 0 });
    const demand = { cpu: 8000, memory: 0, accelerators: 0 };
    const within = Array.from({ length: 200 }, () => createCandidate("small", { demand }, {}));
    const beyond = createCandidate("large", {}, { beyondRate: true });
    const servers = Array.from({ length: 100 }, () => ({ load }) as unknown as session.ServerSession);
    rateHold.placeByRate([...within, beyond], servers, usage, () => []);
    return looks;
}

suite("the servers are searched again for each step that waits for its quota, or that waiting doesn't help", () => {
    assert.ok(countLooks(2, 12_000) <= 100, "held back by its quota");
    assert.ok(countLooks(0, 0) <= 500, "too large");
});

suite("a gap stays empty for the whole slack of a long job, or for one that is late", () => {
    assert.ok(isTried({ rank: { slack: 5000 } }));
    assert.ok(isTried({ rank: { slack: -1500, begun: true } }));
    assert.ok(isTried({ rank: { timeliness: scheduling.Timeliness.late } }));
});

suite.run();
