/** A successor allows for the time that the last order of its predecessor takes to arrive. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("last order of a predecessor");

/** Times in ms. */
const submissionAt = 20_000;
const step = 50;
const jobId = "00000000000000aa";
const task = `${jobId}.0.0.0`;
/** From the sending of a call that gets no response until it is carried out. */
const lateness = 3500;
const takeoverTime = 100;
/** From the takeover: the lost coordinator sends starts for one lease after its last append. */
const lastStartsFrom = 2800;

suite("a late start of a lost coordinator runs twice, on a boot that its successor never reaches", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        let target = "";
        let lastStartsAt = Number.POSITIVE_INFINITY;
        world.decideFate = call => {
            target ||= call.kind === "start" ? call.target : "";
            if (call.target === target && call.epoch === 1 && call.kind === "start" && world.time.now >= lastStartsAt) {
                return { carriedOutAfter: lateness, answered: false };
            }
            // The lost coordinator reaches no server in time, and its successor all others.
            const isLost = target !== "" && call.kind !== "list" && (call.target === target || call.epoch === 1);
            return { carriedOutAfter: isLost ? undefined : 2, answered: !isLost };
        };
        world.submit(jobId, 1, 1, 8000);
        await world.time.runUntil(submissionAt + 1200);
        world.rebootServer(world.machines.find(machine => machine.server?.registration.id === target)!.server!);
        world.current!.reachesStore = false;
        await world.time.runUntil(world.time.now + takeoverTime);
        world.startCoordinator();
        const takeoverAt = world.time.now;
        lastStartsAt = takeoverAt + lastStartsFrom;
        const twice: number[] = [];
        while (world.time.now < takeoverAt + 25_000) {
            await world.time.runUntil(world.time.now + step);
            if (world.machines.filter(machine => machine.server?.running.has(task) === true).length > 1) {
                twice.push(Math.round(world.time.now - takeoverAt));
            }
        }
        assert.ok(world.findServer(task) !== undefined);
        assert.equal(twice, []);
    }
    finally {
        world.close();
    }
});

suite.run();
