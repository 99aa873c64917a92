/** A server that has restarted carries out no late start of an earlier coordinator. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("late starts");

/** Times in ms; those after the submission count from it. */
const submissionAt = 3000;
const killAfter = 300;
const takeoverAfter = 1500;
const rebootAfter = 3700;
const startCarriedOutAfter = 4000;
const end = 6000;
const jobId = "00000000000000aa";

/** Times at which the task ran twice, when a start of the lost coordinator is carried out by a later boot of its server. */
async function playLateStart(): Promise<number[]> {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        let target = "";
        world.decideFate = call => {
            if (call.epoch === 1 && call.kind === "start") {
                target = call.target;
                return { carriedOutAfter: startCarriedOutAfter, answered: false };
            }
            // The successor starts the task elsewhere.
            const refusedAsUnhealthy = call.epoch === 2 && call.kind === "start" && call.target === target;
            return { carriedOutAfter: 2, answered: true, refusedAsUnhealthy };
        };
        world.submitOrdinary(jobId, 1, 10 * end);
        await world.time.runUntil(submissionAt + killAfter);
        world.kill();
        await world.time.runUntil(submissionAt + takeoverAfter);
        world.startCoordinator();
        await world.time.runUntil(submissionAt + rebootAfter);
        world.rebootServer(world.machines.find(({ server }) => server?.registration.id === target)!.server!);
        const task = `${jobId}.0.0.0`;
        const twice: number[] = [];
        while (world.time.now < submissionAt + end) {
            await world.time.runUntil(world.time.now + 50);
            if (world.machines.filter(({ server }) => server?.running.has(task) === true).length > 1) {
                twice.push(Math.round(world.time.now - submissionAt));
            }
        }
        assert.ok(world.log.some(({ epoch, event }) => epoch === 2 && event === "server-rebooted"));
        return twice;
    }
    finally {
        world.close();
    }
}

suite("a server that has restarted runs a task for the lost coordinator that runs elsewhere", async () => {
    assert.equal(await playLateStart(), []);
});

suite.run();
