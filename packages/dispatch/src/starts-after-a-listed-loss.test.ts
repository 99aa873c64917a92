/** A start of a lost coordinator is carried out by the next boot of a server that its successor has seen to be lost. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("starts after a listed loss");

/** Times in ms; those of the course count from the first start. */
const settledAt = 20_000;
const lateness = 6000;
const killAfter = 200;
const crashAfter = 300;
const takeoverAfter = 1500;
const downTime = 5650;
const end = 15_000;
const duration = 60_000;
const jobId = "00000000000000aa";

suite("a task runs twice, as a successor ends its run by a list of machines and the server comes back", async () => {
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
            return { carriedOutAfter: 2, answered: true };
        };
        world.submitOrdinary(jobId, 1, duration);
        world.time.schedule(() => world.kill(), killAfter);
        world.time.schedule(() => {
            const { server } = world.machines.find(machine => machine.server?.registration.id === first)!;
            world.restartSilently(server!, { down: downTime, registration: 2000 });
        }, crashAfter);
        world.time.schedule(() => world.startCoordinator(), takeoverAfter);
        await world.time.runUntil(settledAt + end);
        assert.ok(world.findServer(`${jobId}.0.0.0`) !== undefined, "the task runs");
        assert.equal(world.singleRunRule.violations, []);
    }
    finally {
        world.close();
    }
});

suite.run();
