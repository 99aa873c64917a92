/** A server's next boot carries out a start whose run the coordinator has ended by what it knew of the boot before. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("starts that outlast a boot");

/** Times in ms; those of a course count from the submission. */
const submissionAt = 20_000;
const step = 50;
const end = 20_000;
const jobId = "00000000000000aa";
const task = `${jobId}.0.0.0`;

interface Course {
    readonly submit: (world: simulation.Simulation) => void;
    /** From the sending of a start to the first server until it is carried out. */
    readonly delay: number;
    /** Event of the log after which that server is up in its next boot, and refuses further starts. */
    readonly returnsAfter: string;
    /** Whether it is down, and its machine listed without it, until then. */
    readonly isDown: boolean;
}

/** Returns the times at which the task ran twice. */
async function listDoubleRuns({ submit, delay, returnsAfter, isDown }: Course): Promise<number[]> {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        let first = "";
        const hasReturned = () => world.log.some(({ event }) => event === returnsAfter);
        world.decideFate = ({ target, kind }) => {
            first ||= kind === "start" ? target : "";
            // A call to a server that is down has no target in the simulation.
            const isAffected = kind === "start" && (target === first || target === "");
            return {
                carriedOutAfter: isAffected && !hasReturned() ? delay : 2,
                answered: true,
                refusedAsUnhealthy: isAffected && hasReturned(),
            };
        };
        submit(world);
        await world.time.runUntil(submissionAt + step);
        const machine = world.machines.find(({ server }) => server?.registration.id === first)!;
        const server = machine.server!;
        machine.server = isDown ? undefined : server;
        while (!hasReturned()) {
            await world.time.runUntil(world.time.now + step);
        }
        machine.server = server;
        world.rebootServer(server);
        const twice: number[] = [];
        while (world.time.now < submissionAt + end) {
            await world.time.runUntil(world.time.now + step);
            if (world.machines.filter(other => other.server?.running.has(task) === true).length > 1) {
                twice.push(Math.round(world.time.now - submissionAt));
            }
        }
        assert.ok(world.log.some(({ event }) => event === "server-rebooted"));
        return twice;
    }
    finally {
        world.close();
    }
}

const submitLasting = (world: simulation.Simulation) => world.submit(jobId, 1, 1, 8000);
const submitOrdinary = (world: simulation.Simulation) => world.submitOrdinary(jobId, 1, 12_000);

suite("a list of machines without the server ends a repeated start that its next boot carries out", async () => {
    const course = { submit: submitLasting, delay: 600, returnsAfter: "server-ended", isDown: true };
    assert.equal(await listDoubleRuns(course), []);
});

suite("a list of machines without the server ends a late start that its next boot carries out", async () => {
    const course = { submit: submitOrdinary, delay: 3000, returnsAfter: "server-ended", isDown: true };
    assert.equal(await listDoubleRuns(course), []);
});

suite("a stop that the boot before confirmed ends a late start that the next boot carries out", async () => {
    const course = { submit: submitOrdinary, delay: 3000, returnsAfter: "run-ended", isDown: false };
    assert.equal(await listDoubleRuns(course), []);
});

suite.run();
