/**
 * Guards against organisations that have more running on the servers than their quota, above all across coordinators, and
 * against quotas that keep their own or other organisations' tasks waiting without need.
 */
import type * as jobState from "@catkinwharf/job-state";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as randomFaults from "./testing/random-faults.js";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("quotas");
/** Thousandths of a core. */
const limit = 40_000;
const demand = { cpu: 4000, memory: 100, accelerators: 0 };
const machineCount = 4;
const takeoverTime = 1000;
/** Ms within which an organisation with less than half of its quota running has to be served. */
const allowedWait = 3000;

function createOrganisation(name: string, cpu: number) {
    return { name, keys: [], weight: 1, limit: { cpu, memory: 0, accelerators: 0 } };
}

let lastId = 0;
function createId(): string {
    lastId += 1;
    return lastId.toString(16).padStart(16, "0");
}

/** Submits jobs of organisation a, which together demand several times its quota. */
function submitBurst(
    world: simulation.Simulation,
    jobCount: number,
    overrides: Partial<jobState.Step> = {},
    duration = 800,
): string[] {
    return Array.from({ length: jobCount }, () => {
        const id = createId();
        world.submitOrdinary(id, 4, duration, { demand, ...overrides }, "a");
        return id;
    });
}

async function handOver(world: simulation.Simulation, delay = takeoverTime): Promise<void> {
    world.kill();
    await world.time.runUntil(world.time.now + delay);
    world.startCoordinator();
}

const ordinary: simulation.Fate = { carriedOutAfter: 2, answered: true };

interface Course {
    readonly play: (world: simulation.Simulation) => Promise<void>;
    /** Tasks that are done at least within 40 s. */
    readonly minDone: number;
}

const courses: Readonly<Record<string, Course>> = {
    "its jobs arrive in a burst": {
        play: async world => {
            submitBurst(world, 20);
            await world.time.runUntil(3000);
            // No less than the quota, either.
            assert.is(world.quotaRule.measure("a").cpu, limit);
        },
        minDone: 80,
    },
    "its tasks are of different sizes": {
        play: world => {
            [3500, 7000, 11_000, 900].forEach(cpu => submitBurst(world, 5, { demand: { ...demand, cpu } }));
            return Promise.resolve();
        },
        minDone: 80,
    },
    "a step is wider than the quota": {
        play: world => {
            world.submitOrdinary(createId(), 32, 800, { demand }, "a");
            return Promise.resolve();
        },
        minDone: 32,
    },
    "its gangs fill the quota": {
        play: world => {
            submitBurst(world, 10, { gang: true });
            return Promise.resolve();
        },
        minDone: 40,
    },
    "the coordinator is lost in the middle of a burst": {
        play: async world => {
            for (let i = 0; i < 4; i++) {
                submitBurst(world, 8, {}, 3000);
                await world.time.runUntil(world.time.now + 700);
                await handOver(world);
                submitBurst(world, 8);
            }
        },
        minDone: 100,
    },
    "the coordinator is lost with starts that are carried out seconds later": {
        play: async world => {
            world.decideFate = ({ kind, epoch }) =>
                kind === "start" && epoch === 1 ? { carriedOutAfter: 2500, answered: false } : ordinary;
            submitBurst(world, 20, {}, 5000);
            await world.time.runUntil(1300);
            await handOver(world);
        },
        minDone: 40,
    },
    "a coordinator that the store has lost goes on beside its successor": {
        play: async world => {
            submitBurst(world, 20, {}, 1500);
            await world.time.runUntil(2500);
            world.current!.reachesStore = false;
            await world.time.runUntil(2500 + takeoverTime);
            world.startCoordinator();
        },
        minDone: 60,
    },
    "intents are stored late": {
        play: async world => {
            let count = 0;
            world.holdsAppend = (_, carryOut) => {
                count += 1;
                if (count % 2 === 0) {
                    return false;
                }
                world.time.schedule(carryOut, 400);
                return true;
            };
            for (let i = 0; i < 30; i++) {
                submitBurst(world, 2, {}, 1500);
                await world.time.runUntil(world.time.now + 300);
            }
            world.holdsAppend = () => false;
        },
        minDone: 60,
    },
    "starts get no answer": {
        play: async world => {
            let count = 0;
            world.decideFate = ({ kind }) => {
                count += kind === "start" ? 1 : 0;
                return kind === "start" && count % 2 === 0 ? { carriedOutAfter: 2, answered: false } : ordinary;
            };
            submitBurst(world, 20, {}, 3000);
            await world.time.runUntil(15_000);
            world.decideFate = () => ordinary;
        },
        minDone: 60,
    },
    "starts of long-running tasks get no answer, so that they are repeated": {
        play: async world => {
            world.decideFate = ({ kind }) =>
                kind === "start" || kind === "renewal" ? { carriedOutAfter: 2, answered: kind !== "start" } : ordinary;
            submitBurst(world, 6, { longRunning: true }, 100_000);
            await world.time.runUntil(2000);
            world.decideFate = ({ kind }) => kind === "start" ? { carriedOutAfter: 1200, answered: false } : ordinary;
            submitBurst(world, 6, { longRunning: true }, 100_000);
            await world.time.runUntil(6000);
            world.decideFate = () => ordinary;
            await world.time.runUntil(8000);
            assert.is(world.quotaRule.measure("a").cpu, limit);
        },
        minDone: 0,
    },
    "starts are carried out seconds later, and so are stops": {
        play: async world => {
            let count = 0;
            world.decideFate = ({ kind }) => {
                count += 1;
                return (kind === "start" || kind === "stop") && count % 3 === 0
                    ? { carriedOutAfter: 2500, answered: false }
                    : ordinary;
            };
            submitBurst(world, 20, {}, 3000);
            await world.time.runUntil(15_000);
            world.decideFate = () => ordinary;
        },
        minDone: 60,
    },
    "a server with its tasks is out of reach": {
        play: async world => {
            submitBurst(world, 20, {}, 15_000);
            await world.time.runUntil(2500);
            const target =
                world.machines.find(({ server }) => (server?.running.size ?? 0) > 0)!.server!.registration.id;
            world.decideFate = call =>
                call.target === target ? { carriedOutAfter: undefined, answered: false } : ordinary;
            await world.time.runUntil(4000);
            await handOver(world);
            await world.time.runUntil(20_000);
            world.decideFate = () => ordinary;
        },
        minDone: 10,
    },
    "a server reboots, and its starts had no answer": {
        play: async world => {
            const target = world.machines[0]!.server!;
            world.decideFate = call =>
                call.target === target.registration.id && call.kind === "start"
                    ? { carriedOutAfter: 1500, answered: false }
                    : ordinary;
            submitBurst(world, 20, {}, 5000);
            await world.time.runUntil(1400);
            world.rebootServer(target);
            await world.time.runUntil(1800);
            world.decideFate = () => ordinary;
            await handOver(world);
        },
        minDone: 40,
    },
    "jobs with running tasks are cancelled, and the coordinator is lost": {
        play: async world => {
            const ids = submitBurst(world, 20, {}, 10_000);
            world.decideFate = ({ kind }) => kind === "stop" ? { carriedOutAfter: 900, answered: false } : ordinary;
            await world.time.runUntil(2500);
            ids.slice(0, 6).forEach(id => world.cancel(id));
            await world.time.runUntil(2700);
            await handOver(world);
            ids.slice(6, 9).forEach(id => world.cancel(id));
            await world.time.runUntil(8000);
            world.decideFate = () => ordinary;
        },
        minDone: 10,
    },
    "its quota is lowered below what runs, and raised again": {
        play: async world => {
            submitBurst(world, 30, {}, 1500);
            await world.time.runUntil(3000);
            world.configure([createOrganisation("a", 8000)]);
            await world.time.runUntil(8000);
            assert.ok(world.quotaRule.measure("a").cpu <= 8000, `${world.quotaRule.measure("a").cpu}`);
            await handOver(world);
            await world.time.runUntil(12_000);
            assert.is(world.quotaRule.measure("a").cpu, 8000);
            world.configure([createOrganisation("a", limit)]);
            await world.time.runUntil(14_000);
            assert.is(world.quotaRule.measure("a").cpu, limit);
        },
        minDone: 100,
    },
};

for (const [cause, { play, minDone }] of Object.entries(courses)) {
    suite(`an organisation exceeds its quota, or waits for good, as ${cause}`, async () => {
        const world = new simulation.Simulation({ random: () => 0.5, machineCount });
        try {
            world.configure([createOrganisation("a", limit)]);
            world.startCoordinator();
            await world.time.runUntil(1000);
            await play(world);
            await world.time.runUntil(40_000);
            assert.equal(world.quotaRule.violations, []);
            assert.ok(world.doneTasks >= minDone, `${world.doneTasks} tasks are done`);
        }
        finally {
            world.close();
        }
    });
}

const seeds = Array.from({ length: 12 }, (_, i) => i + 1);

suite("an organisation exceeds its quota in a random course of faults", async () => {
    const found: string[] = [];
    for (const seed of seeds) {
        const run = new randomFaults.FaultyRun({
            seed,
            disturbServers: true,
            prepare: (world, random) => {
                world.quotaRule.grace = 8000; // Orders may be carried out up to 4 s late.
                world.configure(["a", "b"].map(name => createOrganisation(name, limit)));
                for (let at = 0; at < 35_000; at += 400) {
                    world.time.schedule(() => {
                        const cpu = 1000 + Math.floor(random() * 4) * 1500;
                        const taskCount = 1 + Math.floor(random() * 8);
                        const gang = random() < 0.1;
                        const organisation = random() < 0.8 ? "a" : "b";
                        const duration = 200 + random() * 3000;
                        const id = createId();
                        world.submitOrdinary(
                            id,
                            taskCount,
                            duration,
                            { demand: { ...demand, cpu }, gang },
                            organisation,
                        );
                        if (random() < 0.1) {
                            world.time.schedule(() => world.cancel(id), random() * 3000);
                        }
                    }, at);
                }
                for (let at = 4000; at < 35_000; at += 9000) {
                    world.time.schedule(() => {
                        const cpu = limit * (0.3 + random());
                        world.configure([createOrganisation("a", cpu), createOrganisation("b", limit)]);
                    }, at);
                }
            },
        });
        await run.play();
        found.push(...run.world.quotaRule.violations.map(violation => `seed ${seed}: ${JSON.stringify(violation)}`));
        assert.ok(run.world.doneTasks > 50, `seed ${seed}: ${run.world.doneTasks} tasks are done`);
    }
    assert.equal(found, []);
});

/** Ms until all tasks of a job that is submitted now are done; `undefined` if they aren't within 10 s. */
async function measureTime(
    world: simulation.Simulation,
    taskCount: number,
    overrides: Partial<jobState.Step>,
    organisation: string | undefined,
): Promise<number | undefined> {
    const id = createId();
    const from = world.time.now;
    const isRunning = () => world.findServer(`${id}.0.0.0`) !== undefined;
    world.submitOrdinary(id, taskCount, 300, { demand, ...overrides }, organisation);
    while (!isRunning()) {
        if (world.time.now >= from + 10_000) {
            return undefined;
        }
        await world.time.runUntil(world.time.now + 50);
    }
    return world.time.now - from;
}

suite("other organisations wait behind one that is held back by its quota", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount });
    try {
        world.configure([createOrganisation("a", limit), createOrganisation("b", limit)]);
        world.startCoordinator();
        await world.time.runUntil(1000);
        submitBurst(world, 300, {}, 5000);
        await world.time.runUntil(3000);
        for (const organisation of ["b", undefined]) {
            const time = await measureTime(world, 4, {}, organisation);
            assert.ok(time !== undefined && time <= 500, `${organisation}: ${time}`);
        }
    }
    finally {
        world.close();
    }
});

suite("an organisation with less than half of its quota running isn't served for 3 s", async () => {
    for (const cpu of [4000, 30_000, 38_000, 60_000]) {
        const world = new simulation.Simulation({ random: () => 0.5, machineCount });
        try {
            world.configure([createOrganisation("a", limit)]);
            world.startCoordinator();
            await world.time.runUntil(1000);
            submitBurst(world, 1, {}, 30_000); // Runs all the time, and takes two fifths.
            await world.time.runUntil(2000);
            const time = await measureTime(world, 1, { demand: { ...demand, cpu } }, "a");
            assert.ok(time !== undefined && time <= allowedWait, `${cpu}: ${time}`);
            assert.equal(world.quotaRule.violations, []);
        }
        finally {
            world.close();
        }
    }
});

suite("a large task waits for good as small ones of its organisation take each bit of the quota", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount });
    try {
        world.configure([createOrganisation("a", limit)]);
        world.startCoordinator();
        await world.time.runUntil(1000);
        for (let at = 0; at < 20_000; at += 200) {
            world.time.schedule(() => submitBurst(world, 1, {}, 900), at);
        }
        await world.time.runUntil(3000);
        const time = await measureTime(world, 1, { demand: { ...demand, cpu: 24_000 }, estimate: 20_000 }, "a");
        assert.ok(time !== undefined && time <= allowedWait, `${time}`);
        assert.equal(world.quotaRule.violations, []);
    }
    finally {
        world.close();
    }
});

suite("a gang that is wider than the quota never starts, or starts beside others", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount });
    try {
        world.configure([createOrganisation("a", limit)]);
        world.startCoordinator();
        await world.time.runUntil(1000);
        submitBurst(world, 2, {}, 2000);
        await world.time.runUntil(1500);
        // Eleven of the tasks that the quota has room for ten of: the platform allows one task more.
        const time = await measureTime(world, 11, { gang: true }, "a");
        assert.ok(time !== undefined && time <= 2500, `${time}`);
        assert.equal(world.quotaRule.violations, []);
    }
    finally {
        world.close();
    }
});

suite.run();
