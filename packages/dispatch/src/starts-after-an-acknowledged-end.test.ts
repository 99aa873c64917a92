/** A start without a response is carried out by a later boot of its server after the run has been repeated and is done. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("starts after an acknowledged end");

/** Times in ms; the restart counts from the first start. */
const settledAt = 20_000;
const lateness = 6000;
const restartAfter = 5900;
const end = 15_000;
const duration = 500;

suite("a task that is done runs again, as its server restarts before its first start is carried out", async () => {
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
        world.submitOrdinary("00000000000000aa", 1, duration);
        await world.time.runUntil(settledAt + restartAfter);
        assert.is(world.doneTasks, 1);
        const { server } = world.machines.find(machine => machine.server?.registration.id === first)!;
        world.restartSilently(server!, { down: 1, registration: 2000 });
        await world.time.runUntil(settledAt + end);
        assert.equal(world.singleRunRule.violations, []);
    }
    finally {
        world.close();
    }
});

suite.run();
