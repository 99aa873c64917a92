/** A task under which a server crashed starts again while there is room, and is given up if it always crashes, whatever its step. */
import type * as jobState from "@catkinwharf/job-state";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as randomFaults from "./testing/random-faults.js";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("idle suspects");

/** Times in ms. */
const workStart = 2000;
const crashDelay = 40;
const downTime = 3000;
const killDelay = 300;
const claimDelay = 900;
const end = 30_000;
const small = { cpu: 4000, memory: 100, accelerators: 0 };
/** Nearly a whole server. */
const large = { cpu: 60_000, memory: 100, accelerators: 0 };

interface SuspectStep {
    readonly taskCount: number;
    readonly overrides: Partial<jobState.Step>;
    /** Of an organisation at its quota. */
    readonly isLimited?: boolean;
}

const steps: Readonly<Record<string, SuspectStep>> = {
    "a step of many tasks": { taskCount: 60, overrides: { demand: small } },
    "a large task, which gets a reservation": { taskCount: 2, overrides: { demand: large } },
    "a task of an organisation at its quota": { taskCount: 12, overrides: { demand: small }, isLimited: true },
    "a gang": { taskCount: 4, overrides: { demand: small, gang: true } },
    "a filler": { taskCount: 2, overrides: { demand: small, filler: true } },
    "a long-running task": { taskCount: 2, overrides: { demand: small, longRunning: true, maxUnavailable: 1 } },
};

interface Outcome {
    /** Jobs that don't end as they should. */
    readonly wrongEnds: readonly string[];
    /** Number of servers that crashed under the step's first task. */
    readonly crashes: number;
    readonly isRunning: boolean;
}

/** Plays crashes under the first starts of the step's first task. */
async function play(
    { taskCount, overrides, isLimited }: SuspectStep,
    killsCoordinator: boolean,
    crashCount: number,
): Promise<Outcome> {
    const duration = overrides.longRunning === true ? 2 * end : 1000;
    const random = randomFaults.createRandom(taskCount);
    const world = new simulation.Simulation({ random, machineCount: 6, rackCount: 3 });
    const suspect = "00000000000000aa";
    const task = `${suspect}.0.0.0`;
    let crashes = 0;
    try {
        world.configure([{ name: "a", keys: [], weight: 1, limit: { cpu: 16_000, memory: 0, accelerators: 0 } }]);
        if (crashCount > 1) {
            world.jobEndRule.addHopeless(task);
        }
        world.onStarted = (started, server) => {
            if (started === task && crashes < crashCount) {
                crashes += 1;
                world.time.schedule(
                    () => world.restartSilently(server, { down: downTime, registration: 500 }),
                    crashDelay,
                );
                if (killsCoordinator && crashes === 1) {
                    world.time.schedule(() => world.kill(), crashDelay + killDelay);
                    world.time.schedule(() => world.startCoordinator(), crashDelay + killDelay + claimDelay);
                }
            }
        };
        world.startCoordinator();
        await world.time.runUntil(workStart);
        for (let i = 0; i < 150; i++) {
            const id = `b${i.toString(16).padStart(15, "0")}`;
            world.time.schedule(() => world.submitOrdinary(id, 1, 500, { demand: small }), i * 50);
        }
        world.submitOrdinary(suspect, taskCount, duration, overrides, isLimited === true ? "a" : undefined);
        await world.time.runUntil(end);
        assert.ok(world.log.some(({ event }) => event === "server-crashed"));
        return { wrongEnds: world.listWrongEnds(), crashes, isRunning: world.findServer(task) !== undefined };
    }
    finally {
        world.close();
    }
}

for (const [name, step] of Object.entries(steps)) {
    for (const killsCoordinator of [false, true]) {
        const also = killsCoordinator ? ", and the coordinator is killed" : "";
        suite(`${name} waits for ever, as a server crashed under it${also}`, async () => {
            const { wrongEnds, crashes, isRunning } = await play(step, killsCoordinator, 1);
            assert.is(crashes, 1);
            const lasts = step.overrides.longRunning === true;
            assert.equal(wrongEnds, lasts ? ["00000000000000aa is running, not completed"] : []);
            assert.is(isRunning, lasts);
        });
        if (step.overrides.gang === true) {
            continue; // The members of a gang on other servers would be done alone in this simulation.
        }
        suite(`${name} crashes a sixth server${also}`, async () => {
            const { wrongEnds, crashes } = await play(step, killsCoordinator, Number.POSITIVE_INFINITY);
            assert.equal(wrongEnds, []);
            assert.ok(crashes <= 5, `${crashes} servers`);
        });
    }
}

suite.run();
