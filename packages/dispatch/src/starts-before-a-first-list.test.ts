/** A start without a response is carried out by a later boot of its server before that boot has listed its runs. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("starts before a first list");

/** Times in ms; those of a course count from the first start. */
const settledAt = 20_000;
const step = 50;
const end = 15_000;
/** Longer than the course. */
const duration = 60_000;
const jobId = "00000000000000aa";
const task = `${jobId}.0.0.0`;

interface Course {
    /** From the sending of the first start until it is carried out, just after the last restart. */
    readonly lateness: number;
    /** When its server restarts, each time without notice. */
    readonly restarts: readonly number[];
    /** Whether the coordinator is lost, and another one takes over. */
    readonly changesCoordinator: boolean;
}

/** The server of the first start refuses all others. Returns the first and the last time at which the task runs twice. */
async function listDoubleRuns({ lateness, restarts, changesCoordinator }: Course): Promise<number[]> {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(settledAt);
        let first = "";
        world.decideFate = ({ target, kind }) => {
            if (kind === "start" && first === "") {
                first = target;
                return { carriedOutAfter: lateness, answered: false };
            }
            return { carriedOutAfter: 2, answered: true, refusedAsUnhealthy: kind === "start" && target === first };
        };
        world.submitOrdinary(jobId, 1, duration);
        if (changesCoordinator) {
            world.time.schedule(() => world.kill(), 300);
            world.time.schedule(() => world.startCoordinator(), 1500);
        }
        const restart = () => {
            const { server } = world.machines.find(machine => machine.server?.registration.id === first)!;
            world.restartSilently(server!, { down: 1, registration: 2000 });
        };
        restarts.forEach(at => world.time.schedule(restart, at));
        const twice: number[] = [];
        while (world.time.now < settledAt + end) {
            await world.time.runUntil(world.time.now + step);
            if (world.machines.filter(({ server }) => server?.running.has(task) === true).length > 1) {
                twice.push(world.time.now - settledAt);
            }
        }
        assert.ok(world.findServer(task) !== undefined, "the task runs");
        return twice.length === 0 ? [] : [twice[0]!, twice.at(-1)!];
    }
    finally {
        world.close();
    }
}

suite("a task runs twice, as its server restarts again after a boot that refused the late start", async () => {
    const course = { lateness: 6000, restarts: [400, 5900], changesCoordinator: false };
    assert.equal(await listDoubleRuns(course), []);
});

suite("a task runs twice, as its server restarts after a successor found it without the run", async () => {
    const course = { lateness: 4000, restarts: [3700], changesCoordinator: true };
    assert.equal(await listDoubleRuns(course), []);
});

suite.run();
