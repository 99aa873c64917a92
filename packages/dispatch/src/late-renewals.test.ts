/** A poll that was sent to a server's earlier boot may renew the lease of the next one until its own timeout has passed. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("late renewals");

/** Times in ms. */
const settledAt = 20_000;
const step = 25;
const observation = 20_000;
/** Longer than the longest lease, twice. */
const duration = 25_000;
/** From the sending of an idle poll until it is carried out: less than its wait and the call's timeout. */
const lateness = 2600;
const restartDelay = 50;
/** After this time the next boot, which registers 300 ms after its start, has been listed. */
const listedAfter = 500;
const jobId = "00000000000000aa";
const task = `${jobId}.0.0.0`;

/**
 * An idle poll is carried out late, by the next boot of a server that runs a task and then is cut off. Returns the first and the
 * last time in ms after the poll at which the task runs twice, if it does.
 *
 * @param submittedAfter time in ms from the server's restart until the task is submitted
 */
async function playLateRenewal(submittedAfter: number): Promise<number[]> {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 2 });
    try {
        world.startCoordinator();
        await world.time.runUntil(settledAt);
        const [server, other] = world.machines.map(machine => machine.server!);
        const { id } = server!.registration;
        let polledAt: number | undefined;
        let isCutOff = false;
        world.decideFate = ({ target, kind }) => {
            if (target === id && kind === "renewal" && polledAt === undefined) {
                polledAt = world.time.now;
                return { carriedOutAfter: lateness, answered: false };
            }
            const isLost = target === id && isCutOff;
            return { carriedOutAfter: isLost ? undefined : 2, answered: !isLost };
        };
        while (polledAt === undefined) {
            await world.time.runUntil(world.time.now + step);
        }
        other!.draining = true;
        world.register(other!);
        await world.time.runUntil(polledAt + restartDelay);
        world.restartSilently(server!, { down: 1, registration: 300 });
        await world.time.runUntil(polledAt + restartDelay + submittedAfter);
        world.submitOrdinary(jobId, 1, duration);
        await world.time.runUntil(polledAt + lateness + 2 * step);
        assert.ok(server!.running.has(task), "the next boot runs the task");
        isCutOff = true;
        other!.draining = false;
        world.register(other!);
        const twice: number[] = [];
        while (world.time.now < polledAt + observation) {
            await world.time.runUntil(world.time.now + step);
            if (world.machines.filter(machine => machine.server?.running.has(task) === true).length > 1) {
                twice.push(Math.round(world.time.now - polledAt));
            }
        }
        assert.ok(other!.running.has(task), "the task starts elsewhere");
        return twice.length === 0 ? [] : [twice[0]!, twice.at(-1)!];
    }
    finally {
        world.close();
    }
}

suite(
    "a task runs twice, as a late renewal extends the lease of the next boot that carried out its start",
    async () => {
        assert.equal(await playLateRenewal(0), []);
    },
);

suite(
    "a task runs twice, as an interrupted poll extends the lease of the next boot that was listed meanwhile",
    async () => {
        assert.equal(await playLateRenewal(listedAfter), []);
    },
);

suite.run();
