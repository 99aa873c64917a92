/** How often the start of a long-running task is repeated to a server that responds that it is unhealthy. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("repeats to unhealthy servers");

/** Times in ms. */
const settledAt = 5000;
const period = 10_000;
/** Shortest time in ms between two calls to a server that refuses. */
const retryDelay = 250;

suite(
    "the start of a long-running task is sent many times a second to a server that refuses it as unhealthy",
    async () => {
        const world = new simulation.Simulation({ random: () => 0.5, machineCount: 1 });
        try {
            world.startCoordinator();
            await world.time.runUntil(settledAt);
            let starts = 0;
            world.decideFate = ({ kind }) => {
                if (kind !== "start") {
                    return { carriedOutAfter: 2, answered: true };
                }
                starts += 1;
                return starts === 1
                    ? { carriedOutAfter: undefined, answered: false }
                    : { carriedOutAfter: 2, answered: true, refusedAsUnhealthy: true };
            };
            world.submit("00000000000000aa", 1, 1, 1000);
            await world.time.runUntil(settledAt + period);
            assert.ok(starts > 2 && starts <= period / retryDelay, `${starts} starts`);
        }
        finally {
            world.close();
        }
    },
);

suite.run();
