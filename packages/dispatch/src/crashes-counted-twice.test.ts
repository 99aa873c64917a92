/** A crash of a server counts once for each task, also if the coordinator changes meanwhile. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("crashes counted twice");

/** Times in ms. */
const submissionAt = 5000;
const rebootAfter = 4000;
const jobId = "00000000000000aa";

suite("a sound job fails because a successor counts the crash that its predecessor has counted", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        let target = "";
        let renewalsArrive = false;
        world.decideFate = call => {
            target ||= call.kind === "start" ? call.target : "";
            const isLost = call.target === target && target !== "" && !(renewalsArrive && call.kind === "renewal");
            return { carriedOutAfter: isLost ? undefined : 2, answered: !isLost };
        };
        world.submitOrdinary(jobId, 1, 1000);
        await world.time.runUntil(submissionAt + rebootAfter);
        const server = world.machines.find(machine => machine.server?.registration.id === target)!.server!;
        world.rebootServer(server);
        renewalsArrive = true;
        await world.time.runUntil(submissionAt + rebootAfter + 1500);
        const crashes = () => world.log.filter(({ event }) => event === "server-crashed");
        assert.equal(crashes().map(({ epoch }) => epoch), [1]);
        world.kill();
        await world.time.runUntil(world.time.now + 1000);
        world.decideFate = () => ({ carriedOutAfter: 2, answered: true });
        world.startCoordinator();
        await world.time.runUntil(world.time.now + 10_000);
        assert.equal(world.log.filter(({ event }) => event === "task-given-up"), []);
        assert.is(world.doneTasks, 1);
    }
    finally {
        world.close();
    }
});

suite("a crash counts for a task that only the server's next boot has started", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 1 });
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        // The poll under way gets no answer, so the restart shows only after its time-out.
        world.machines[0]!.server!.reboot();
        world.submitOrdinary(jobId, 1, 1000);
        await world.time.runUntil(submissionAt + 10_000);
        assert.ok(world.log.some(({ event }) => event === "start-on-another-boot"));
        assert.ok(world.log.some(({ event }) => event === "server-rebooted"));
        assert.equal(world.log.filter(({ event }) => event === "server-crashed"), []);
        assert.is(world.doneTasks, 1);
    }
    finally {
        world.close();
    }
});

suite.run();
