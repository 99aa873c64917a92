/** A task whose run has failed starts elsewhere while an earlier start of the run is still on its way. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("starts after a failed run");

/** Times in ms; the restart counts from the first start. */
const settledAt = 20_000;
const lateness = 6000;
const restartAfter = 5900;
const failsAfter = 300;
const end = 15_000;
const duration = 60_000;

suite("a task runs twice, as its repeated run has failed and its server restarts before the first start", async () => {
    let failures = 1;
    const world = new simulation.Simulation({
        random: () => 0.5,
        machineCount: 3,
        chooseFailure: () => failures-- > 0 ? failsAfter : undefined,
    });
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
        assert.ok(world.log.some(({ event, fields }) => event === "run-ended" && fields["how"] === "failed"));
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
