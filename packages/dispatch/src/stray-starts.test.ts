/** A start that got no response is stopped in its server's next boot before it is carried out there. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("stray starts");

/** Times in ms; those of a course count from the first start. */
const settledAt = 20_000;
const step = 25;
const observation = 12_000;
/** Longer than the course. */
const duration = 25_000;
/** From the sending of the first start until it is carried out. */
const lateness = 4500;
const restartAt = 2000;
const jobId = "00000000000000aa";
const task = `${jobId}.0.0.0`;

interface Course {
    readonly submit: (world: simulation.Simulation) => void;
    /** Whether the first server carries out repeats of the start; else it refuses further starts as unhealthy. */
    readonly carriesOutRepeats: boolean;
    /** Whether the first call to stop the run in the next boot is lost. */
    readonly losesStop: boolean;
}

/**
 * The first start of a task is carried out late, by the next boot of its server, which has been listed by then. Returns the first
 * and the last time at which the task runs twice, if it does.
 */
async function listDoubleRuns({ submit, carriesOutRepeats, losesStop }: Course): Promise<number[]> {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 2 });
    try {
        world.startCoordinator();
        await world.time.runUntil(settledAt);
        let first = "";
        let startedAt = 0;
        let stopLost = !losesStop;
        const isListedAnew = () => world.log.some(({ event }) => event === "server-rebooted");
        world.decideFate = ({ target, kind }) => {
            if (kind === "start" && first === "") {
                first = target;
                startedAt = world.time.now;
                return { carriedOutAfter: lateness, answered: false };
            }
            if (kind === "stop" && target === first && isListedAnew() && !stopLost) {
                stopLost = true;
                return { carriedOutAfter: undefined, answered: false };
            }
            const isRefused = kind === "start" && target === first && (!carriesOutRepeats || isListedAnew());
            return { carriedOutAfter: 2, answered: true, refusedAsUnhealthy: isRefused };
        };
        submit(world);
        while (first === "" || world.time.now < startedAt + restartAt) {
            await world.time.runUntil(world.time.now + step);
        }
        const { server } = world.machines.find(machine => machine.server?.registration.id === first)!;
        world.restartSilently(server!, { down: 1, registration: 300 });
        const twice: number[] = [];
        while (world.time.now < startedAt + observation) {
            await world.time.runUntil(world.time.now + step);
            assert.ok(world.time.now < startedAt + lateness || isListedAnew(), "the next boot is listed before");
            if (world.machines.filter(machine => machine.server?.running.has(task) === true).length > 1) {
                twice.push(Math.round(world.time.now - startedAt));
            }
        }
        assert.ok(world.findServer(task) !== undefined, "the task runs");
        return twice.length === 0 ? [] : [twice[0]!, twice.at(-1)!];
    }
    finally {
        world.close();
    }
}

const submitLasting = (world: simulation.Simulation) => world.submit(jobId, 1, 1, 8000);
const submitOrdinary = (world: simulation.Simulation) => world.submitOrdinary(jobId, 1, duration);

suite("a next boot carries out a late start, as the boot before had confirmed a repeat of it", async () => {
    const course = { submit: submitLasting, carriesOutRepeats: true, losesStop: false };
    assert.equal(await listDoubleRuns(course), []);
});

suite("a next boot carries out a late start, as the one call to stop it there was lost", async () => {
    const course = { submit: submitOrdinary, carriesOutRepeats: false, losesStop: true };
    assert.equal(await listDoubleRuns(course), []);
});

suite("a next boot carries out a late start that it was told to stop", async () => {
    const course = { submit: submitOrdinary, carriesOutRepeats: false, losesStop: false };
    assert.equal(await listDoubleRuns(course), []);
});

suite.run();
