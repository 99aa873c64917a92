/** A server whose entry was away keeps the highest fencing token that it has seen. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("returned servers");

/** Times in ms. */
const submissionAt = 3000;
const cutAt = 8000;
const removedAt = 12_500;
const returnAt = 30_000;
const end = 37_000;
const duration = 300;

suite("a coordinator steps down, as a server refuses the fencing token of its new session", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 1 });
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        const { server } = world.machines[0]!;
        let lostStarts = 1;
        world.decideFate = ({ kind }) =>
            kind === "start" && lostStarts-- > 0
                ? { carriedOutAfter: undefined, answered: false }
                : { carriedOutAfter: 2, answered: true };
        world.submitOrdinary("00000000000000aa", 1, duration);
        await world.time.runUntil(cutAt);
        assert.is(world.doneTasks, 1);
        world.decideFate = () => ({ carriedOutAfter: undefined, answered: false });
        await world.time.runUntil(removedAt);
        world.unregister(server!);
        await world.time.runUntil(returnAt);
        world.decideFate = () => ({ carriedOutAfter: 2, answered: true });
        world.register(server!);
        world.submitOrdinary("00000000000000bb", 1, duration);
        await world.time.runUntil(end);
        assert.not(world.log.some(({ event }) => event === "stepped-down"));
        assert.is(world.doneTasks, 2);
    }
    finally {
        world.close();
    }
});

suite.run();
