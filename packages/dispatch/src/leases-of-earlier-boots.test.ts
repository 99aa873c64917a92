/** A coordinator knows of leases that its predecessor's orders gave to a server's next boot. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("leases of earlier boots");

/** Times in ms. */
const submissionAt = 20_000;
const takeoverTime = 1000;
const step = 50;
const leaseDuration = 4500;
const jobId = "00000000000000aa";
const task = `${jobId}.0.0.0`;

interface Course {
    /** Whether the lost coordinator has read a list of the server's new boot. */
    readonly seesNewBoot: boolean;
}

/** Ms from the takeover until the successor doesn't reach the server any more. */
const cutOffAfter = 600;

/** Times in ms after the takeover at which the task ran twice, in the 20 s after it. */
async function listDoubleRuns(world: simulation.Simulation, takeoverAt: number): Promise<number[]> {
    const twice: number[] = [];
    while (world.time.now < takeoverAt + 20_000) {
        await world.time.runUntil(world.time.now + step);
        if (world.machines.filter(machine => machine.server?.running.has(task) === true).length > 1) {
            twice.push(Math.round(world.time.now - takeoverAt));
        }
    }
    assert.ok(world.findServer(task) !== undefined);
    return twice;
}

/**
 * A start reaches the next boot of its server, the coordinator is lost, and its successor loses the server. Returns the times
 * in ms after the takeover at which the task ran twice.
 */
async function playStartOnNewBoot({ seesNewBoot }: Course): Promise<number[]> {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        let target = "";
        let isCutOff = true;
        world.decideFate = call => {
            target ||= call.kind === "start" ? call.target : "";
            const isLost = call.target === target && target !== "" && isCutOff
                && (call.epoch === 2 || call.kind === "start" || call.kind === "renewal");
            // The start is carried out once the server has started again.
            return { carriedOutAfter: !isLost ? 2 : call.kind === "start" ? 1300 : undefined, answered: !isLost };
        };
        world.submit(jobId, 1, 1, 8000);
        await world.time.runUntil(submissionAt + 1200);
        const server = world.machines.find(machine => machine.server?.registration.id === target)!.server!;
        world.rebootServer(server);
        const decideFate = world.decideFate;
        world.decideFate = call =>
            call.target === target && call.kind === "renewal" && !seesNewBoot
                ? { carriedOutAfter: undefined, answered: false }
                : { carriedOutAfter: 2, answered: true };
        await world.time.runUntil(submissionAt + 1800);
        assert.ok(server.running.has(task));
        world.kill();
        await world.time.runUntil(world.time.now + takeoverTime);
        isCutOff = false;
        world.decideFate = decideFate;
        world.startCoordinator();
        const takeoverAt = world.time.now;
        world.time.schedule(() => isCutOff = true, cutOffAfter);
        return await listDoubleRuns(world, takeoverAt);
    }
    finally {
        world.close();
    }
}

suite(
    "a task runs twice, as a successor doesn't know of the lease that a start gave to the server's next boot",
    async () => {
        assert.equal(await playStartOnNewBoot({ seesNewBoot: true }), []);
        assert.equal(await playStartOnNewBoot({ seesNewBoot: false }), []);
    },
);

suite(
    "a coordinator that the store has lost starts a task on a boot that its successor never reaches, which runs twice",
    async () => {
        const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
        try {
            world.startCoordinator();
            await world.time.runUntil(submissionAt);
            let target = "";
            world.decideFate = call => {
                target ||= call.kind === "start" ? call.target : "";
                const isLost = call.target === target && target !== "";
                return { carriedOutAfter: !isLost ? 2 : call.kind === "start" ? 3400 : undefined, answered: !isLost };
            };
            world.submit(jobId, 1, 1, 8000);
            await world.time.runUntil(submissionAt + 1200);
            const server = world.machines.find(machine => machine.server?.registration.id === target)!.server!;
            world.rebootServer(server);
            world.current!.reachesStore = false;
            await world.time.runUntil(submissionAt + 2200);
            world.startCoordinator();
            const takeoverAt = world.time.now;
            assert.equal(await listDoubleRuns(world, takeoverAt), []);
            assert.ok(server.hasRun(task));
        }
        finally {
            world.close();
        }
    },
);

suite("a coordinator that the store has lost repeats a start without end, which may reach a next boot", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        const starts: number[] = [];
        world.decideFate = ({ kind }) => {
            if (kind === "start") {
                starts.push(world.time.now);
            }
            return { carriedOutAfter: kind === "start" ? undefined : 2, answered: kind !== "start" };
        };
        world.submit(jobId, 1, 1, 8000);
        await world.time.runUntil(submissionAt + 1200);
        world.current!.reachesStore = false;
        const lostAt = world.time.now;
        await world.time.runUntil(lostAt + 12_000);
        assert.ok(starts.some(at => at > lostAt + 3000));
        assert.not.ok(starts.some(at => at > lostAt + leaseDuration));
    }
    finally {
        world.close();
    }
});

suite("a successor takes the longest lease for that of every server, and tasks idle after each takeover", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        world.submit(jobId, 1, 1, 8000);
        await world.time.runUntil(submissionAt + 10_000);
        const server = world.findServer(task)!;
        world.kill();
        await world.time.runUntil(world.time.now + takeoverTime);
        world.startCoordinator();
        await world.time.runUntil(world.time.now + 600);
        const cutOffAt = world.time.now;
        world.decideFate = ({ target }) => {
            const isLost = target === server.registration.id;
            return { carriedOutAfter: isLost ? undefined : 2, answered: !isLost };
        };
        const isElsewhere = () => ![undefined, server].includes(world.findServer(task));
        while (!isElsewhere() && world.time.now < cutOffAt + 20_000) {
            await world.time.runUntil(world.time.now + step);
        }
        // An ordinary lease, which the last poll may have renewed at its end, and two retries to reach the server.
        assert.ok(world.time.now - cutOffAt < leaseDuration + 1700 + 2 * 950, `${world.time.now - cutOffAt}`);
    }
    finally {
        world.close();
    }
});

suite.run();
