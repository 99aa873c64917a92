/** A long-running task whose start got no response isn't held by a server that refuses it for long. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as context from "./context.js";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("idle long-running tasks");

/** Times in ms; those of the course count from the first start. */
const settledAt = 20_000;
const killAfter = 200;
const takeoverAfter = 1500;
/** Time in which a start without a response may be carried out, and for which the users' rules let a task be without a run. */
const end = context.maxCallLateness + 6000;
const jobId = "00000000000000aa";

for (const changesCoordinator of [false, true]) {
    const whose = changesCoordinator ? "a predecessor's start" : "its start";
    suite(`a long-running task idles, as its server refuses ${whose} as unhealthy`, async () => {
        const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
        try {
            world.startCoordinator();
            await world.time.runUntil(settledAt);
            let first = "";
            world.decideFate = ({ target, kind }) => {
                if (kind === "start" && first === "") {
                    first = target;
                    return { carriedOutAfter: undefined, answered: false };
                }
                return { carriedOutAfter: 2, answered: true, refusedAsUnhealthy: kind === "start" && target === first };
            };
            world.submit(jobId, 1, 1, 1000);
            if (changesCoordinator) {
                world.time.schedule(() => world.kill(), killAfter);
                world.time.schedule(() => world.startCoordinator(), takeoverAfter);
            }
            await world.time.runUntil(settledAt + end);
            assert.ok(world.findServer(`${jobId}.0.0.0`) !== undefined, "no server runs the task");
        }
        finally {
            world.close();
        }
    });
}

suite.run();
