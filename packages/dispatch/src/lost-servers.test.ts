/** Tasks of a lost server start elsewhere as soon as the list of machines shows the loss, whoever coordinates by then. */
import * as platform from "@catkinwharf/platform";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as context from "./context.js";
import * as machineInventory from "./machine-inventory.js";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("lost servers");

/** Times in ms. */
const lossAt = 11_000;
const killAfter = 650;
const takeoverTime = 1300;
/** Time for which the users' rules let a lasting task be without a run. */
const restartTime = 6000;
/** Longest time of a poll of a server with runs: it may wait for 1 s for an end, and is given up after its time-out. */
const pollTime = 1000 + context.serverCallTimeout;
/** Time for a pass, the intent and the start, each of a few ms, and a check of this test. */
const startTime = 100;
const jobId = "00000000000000aa";
const task = `${jobId}.0.0.0`;

/** Time in ms from the loss of the task's server to the task's next run. */
async function playLoss(world: simulation.Simulation, coordinatorIsLost: boolean): Promise<number> {
    try {
        world.startCoordinator();
        await world.time.runUntil(1000);
        world.submit(jobId, 1, 1, 8000);
        await world.time.runUntil(lossAt);
        const machine = world.findMachine(world.findServer(task)!);
        world.endServer(machine);
        machine.state = platform.machineCalls.MachineState.down;
        if (coordinatorIsLost) {
            await world.time.runUntil(lossAt + killAfter);
            world.kill();
            await world.time.runUntil(world.time.now + takeoverTime);
            world.startCoordinator();
        }
        while (world.findServer(task) === undefined && world.time.now < lossAt + 20_000) {
            await world.time.runUntil(world.time.now + 50);
        }
        return world.time.now - lossAt;
    }
    finally {
        world.close();
    }
}

function createWorld(): simulation.Simulation {
    return new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
}

suite("a task idles for two leases, as a successor's first list of machines shows its server as lost", async () => {
    const idle = await playLoss(createWorld(), true);
    assert.ok(idle < restartTime, `${idle}`);
});

suite(
    "a task idles until its lease ends, as a list shows its server as lost before the server is found unreachable",
    async () => {
        const idle = await playLoss(createWorld(), false);
        assert.ok(idle < pollTime + 2 * machineInventory.refreshInterval + startTime, `${idle}`);
    },
);

suite.run();
