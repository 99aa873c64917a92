/** A process that was paused in its takeover knows how old its claim is. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serverFence from "./server-fence.js";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("paused takeover");

/** Times in ms. */
const submissionAt = 1000;
const killedAt = 7100;
const claimAt = 7800;
const pause = 3400;
/** From that claim to the next process's. */
const successionTime = 700;
const step = 50;
const jobId = "00000000000000aa";
const task = `${jobId}.0.0.0`;

suite("a coordinator that was paused after its claim renews leases that its successor counts as expired", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        world.submit(jobId, 1, 1, 8000);
        await world.time.runUntil(killedAt);
        world.kill();
        const { id } = world.findServer(task)!.registration;
        // The paused process reaches the task's server alone, and its successor all others.
        world.decideFate = ({ epoch, target, kind }) => {
            const isLost = kind !== "list" && (target === id) !== (epoch === 2);
            return { carriedOutAfter: isLost ? undefined : 2, answered: !isLost };
        };
        world.holdsAppend = ({ conditions }) => conditions.producer?.epoch === 2 * serverFence.tokensPerEpoch;
        await world.time.runUntil(claimAt);
        world.startCoordinator(pause);
        await world.time.runUntil(claimAt + successionTime);
        world.startCoordinator();
        const twice: number[] = [];
        while (world.time.now < claimAt + 20_000) {
            await world.time.runUntil(world.time.now + step);
            if (world.machines.filter(({ server }) => server?.running.has(task) === true).length > 1) {
                twice.push(Math.round(world.time.now - claimAt));
            }
        }
        assert.ok(world.log.some(({ epoch, event }) => epoch === 2 && event === "server-reached"));
        assert.ok(world.findServer(task) !== undefined);
        assert.equal(twice, []);
    }
    finally {
        world.close();
    }
});

suite.run();
