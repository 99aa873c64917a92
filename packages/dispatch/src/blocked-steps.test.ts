/**
 * Steps that fit nowhere don't keep the other jobs of their service from starting. A placement pass used to end after 16
 * of them, and steps of long-running tasks come first in it.
 */
import type * as jobState from "@catkinwharf/job-state";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("blocked steps");
const serverCount = 4;
/** Thousandths of a core of each server. */
const serverCpu = 64_000;
const demand = { cpu: 100, memory: 10, accelerators: 0 };
const shortJob = "00000000000000bb";
/** In ms: when the short job is submitted, its duration, and how long it may take in all. */
const submittedAt = 4000;
const shortDuration = 300;
const allowedTime = 3000;
/** In ms: longer than the test, so that the steps keep their places and haven't expired, which would put them last. */
const longDuration = 100_000;

/** Why a step, or one task of it, fits on no server; nothing changes that. */
const causes: Readonly<Record<string, Partial<jobState.Step>>> = {
    "has a task more than servers that may each run one": { taskCount: serverCount + 1, maxPerServer: 1, demand },
    "demands more than a server has": { demand: { ...demand, cpu: serverCpu + 1 } },
    "demands a label that no server has": { requiredLabel: "gpu", demand },
    "is a gang with a task more than servers that may each run one": {
        taskCount: serverCount + 1,
        maxPerServer: 1,
        gang: true,
        demand,
    },
};

for (const [description, step] of Object.entries(causes)) {
    for (const count of [16, 300]) {
        for (const longRunning of [true, false]) {
            const kind = longRunning ? "long-running" : "ordinary";
            suite(`a job is never started behind ${count} ${kind} steps each of which ${description}`, async () => {
                const world = new simulation.Simulation({ random: () => 0, machineCount: serverCount });
                try {
                    world.startCoordinator();
                    await world.time.runUntil(500);
                    for (let i = 0; i < count; i++) {
                        const id = (0xa000 + i).toString(16).padStart(16, "0");
                        world.submitOrdinary(id, 1, longDuration, { ...step, longRunning });
                    }
                    await world.time.runUntil(submittedAt);
                    const done = world.doneTasks;
                    world.submitOrdinary(shortJob, 2, shortDuration, { demand });
                    await world.time.runUntil(submittedAt + allowedTime);
                    assert.is(world.doneTasks - done, 2);
                }
                finally {
                    world.close();
                }
            });
        }
    }
}

/* Steps that wait for room, which takes as long as the tasks that have it, kept later jobs off servers with room for these. */
suite(
    "a job is never started behind steps that wait for long tasks, although the servers have room for it",
    async () => {
        const world = new simulation.Simulation({ random: () => 0, machineCount: serverCount });
        try {
            world.startCoordinator();
            await world.time.runUntil(500);
            submitMany(world, "a", serverCount, () => ({ cpu: 0.6 * serverCpu, duration: longDuration }));
            await world.time.runUntil(1000);
            submitMany(world, "b", 40, () => ({ cpu: 0.5 * serverCpu, duration: longDuration }));
            await world.time.runUntil(submittedAt);
            const done = world.doneTasks;
            world.submitOrdinary(shortJob, 2, shortDuration, { demand });
            await world.time.runUntil(submittedAt + allowedTime);
            assert.is(world.doneTasks - done, 2);
        }
        finally {
            world.close();
        }
    },
);

/*
 * Without the bound that blocked jobs, small tasks took each bit of room on busy servers, and large ones that had come
 * before them waited until there were no more small ones.
 */
suite("large tasks never start in a burst, as small ones that come later take each bit of room", async () => {
    const world = new simulation.Simulation({ random: () => 0, machineCount: 2 });
    try {
        world.startCoordinator();
        await world.time.runUntil(500);
        // Fill the servers, and end one after the other.
        submitMany(world, "a", 128, i => ({ cpu: serverCpu / 64, duration: 1000 + 15 * i }));
        await world.time.runUntil(1000);
        submitMany(world, "b", 20, () => ({ cpu: serverCpu / 2, duration: longDuration }));
        await world.time.runUntil(1100);
        submitMany(world, "c", 2000, i => ({ cpu: serverCpu / 64, duration: 1000 + i % 100 }));
        await world.time.runUntil(5000);
        const started = Array.from({ length: 20 }, (_, i) => world.findServer(`${formatId("b", i)}.0.0.0`));
        assert.ok(started.some(server => server !== undefined));
    }
    finally {
        world.close();
    }
});

function formatId(kind: string, i: number): string {
    return `${kind}${i}`.padStart(16, "0");
}

/** Submits jobs of one task each. */
function submitMany(
    world: simulation.Simulation,
    kind: string,
    count: number,
    describe: (i: number) => { readonly cpu: number; readonly duration: number; },
): void {
    for (let i = 0; i < count; i++) {
        const { cpu, duration } = describe(i);
        world.submitOrdinary(formatId(kind, i), 1, duration, { demand: { ...demand, cpu } });
    }
}

suite.run();
