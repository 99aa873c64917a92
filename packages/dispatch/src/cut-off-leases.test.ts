/**
 * A coordinator that the store no longer hears from doesn't keep runs alive that its successor takes for ended, but keeps
 * them through an outage of the store.
 */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("leases of a coordinator that is cut off");

/** Times in ms. */
const cutOffAt = 8000;
const takeoverAt = 9500;
const end = 40_000;
const jobId = "00000000000000aa";

/** Time in ms of an outage of the store that leases have to outlast. */
const outage = 6500;

/** Course of a coordinator that loses the store, and whose successor doesn't reach the server that runs a task. */
async function playCutOff(): Promise<string[]> {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(1000);
        world.submit(jobId, 1, 1, 8000);
        await world.time.runUntil(cutOffAt);
        const task = `${jobId}.0.0.0`;
        const cutOff = world.findServer(task)!.registration.id;
        world.current!.reachesStore = false;
        world.decideFate = ({ target, epoch }) => {
            const lost = (target === cutOff) !== (epoch === 1);
            return { carriedOutAfter: lost ? undefined : 2, answered: !lost };
        };
        await world.time.runUntil(takeoverAt);
        world.startCoordinator();
        const twice: string[] = [];
        while (world.time.now < end) {
            await world.time.runUntil(world.time.now + 100);
            const servers = world.machines.filter(({ server }) => server?.running.has(task) === true);
            if (servers.length > 1) {
                twice.push(`${Math.round(world.time.now)}`);
            }
        }
        assert.ok(world.findServer(task) !== undefined);
        return twice;
    }
    finally {
        world.close();
    }
}

suite("a task runs twice, as a coordinator that is cut off with its server goes on renewing the lease", async () => {
    assert.equal(await playCutOff(), []);
});

suite("a lease lapses in an outage of the store of 6.5 s", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(1000);
        world.submit(jobId, 3, 1, 8000);
        await world.time.runUntil(cutOffAt);
        world.current!.reachesStore = false;
        await world.time.runUntil(cutOffAt + outage);
        world.current!.reachesStore = true;
        await world.time.runUntil(end);
        assert.equal(world.rule.violations, []);
        assert.equal(world.log.filter(({ event }) => event === "run-ended"), []);
    }
    finally {
        world.close();
    }
});

suite.run();
