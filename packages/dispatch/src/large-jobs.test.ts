/** Jobs of many tasks go on after losses of power. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("large jobs");

/** Times in ms. */
const submissionAt = 1000;
const workTime = 4000;
const downTime = 9500;
const taskCount = 1500;
const jobId = "00000000000000aa";

suite("a job of many tasks fails after two losses of power, as its progress outgrows a record", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 10 });
    const countRunning = () => world.machines.reduce((sum, { server }) => sum + (server?.running.size ?? 0), 0);
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        world.submit(jobId, taskCount, taskCount, 300);
        for (let loss = 0; loss < 2; loss++) {
            await world.time.runUntil(world.time.now + workTime);
            assert.is(countRunning(), taskCount);
            world.kill();
            await world.time.runUntil(world.time.now + downTime);
            assert.is(countRunning(), 0);
            world.startCoordinator();
        }
        await world.time.runUntil(world.time.now + workTime);
        assert.is(countRunning(), taskCount);
        assert.equal(world.log.filter(({ event }) => event === "job-settled"), []);
    }
    finally {
        world.close();
    }
});

suite.run();
