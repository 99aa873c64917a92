/** A crash counts once, also if a run is kept past the list of machines that shows it. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("crashes of kept runs");

/** Times in ms. */
const settledAt = 5000;
const downTime = 20_000;
const end = 60_000;

suite("a sound job fails, as the crash of its server counts at its loss and again at its restart", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 1 });
    try {
        world.startCoordinator();
        await world.time.runUntil(settledAt);
        let starts = 0;
        world.decideFate = ({ kind }) => {
            starts += kind === "start" ? 1 : 0;
            const isFirst = kind === "start" && starts === 1;
            if (isFirst) {
                const { server } = world.machines[0]!;
                world.time.schedule(() => world.restartSilently(server!, { down: downTime, registration: 500 }), 5);
            }
            return { carriedOutAfter: 2, answered: !isFirst };
        };
        world.submitOrdinary("00000000000000aa", 1, 1000);
        await world.time.runUntil(settledAt + end);
        assert.equal(world.log.filter(({ event }) => event === "task-given-up"), []);
        assert.is(world.doneTasks, 1);
        assert.is(world.log.filter(({ event }) => event === "server-crashed").length, 1);
    }
    finally {
        world.close();
    }
});

suite.run();
