/** How long tasks of lost servers wait is measured up to the confirmation of their next start. */
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as platform from "@catkinwharf/platform";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as restartMeter from "./restart-meter.js";
import type * as session from "./server-session.js";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("restart delays");

const lost = { reachable: false, bootId: "s1@1", lastAnswerAt: 1000 } as session.ServerSession;

interface Measured {
    readonly meter: restartMeter.RestartMeter;
    readonly delays: number[];
    /** Creates a run of the one task. */
    readonly createRun: (overrides: Partial<session.ActiveRun>) => session.ActiveRun;
    readonly entry: jobState.JobEntry;
}

function measure(): Measured {
    const delays: number[] = [];
    const meter = new restartMeter.RestartMeter(delay => delays.push(delay));
    const job = jobTesting.createJob();
    const progress = jobState.createProgress(0);
    const entry = {
        id: job.id,
        job,
        cancelledAt: undefined,
        progress,
        storedStatus: undefined,
        storedParts: new Set<string>(),
    };
    const createRun = (overrides: Partial<session.ActiveRun>) => ({
        entry,
        position: { occurrence: 0, step: 0, index: 0 },
        taskIndex: 0,
        stepKey: "a.0.0",
        bootId: "s1@1",
        phase: "running",
        expectedInListsFrom: 900,
        ...overrides,
    } as session.ActiveRun);
    return { meter, delays, createRun, entry };
}

suite("a task whose next start isn't confirmed counts as started again", () => {
    const { meter, delays, createRun } = measure();
    meter.recordEnd(lost, createRun({}), "lapsed");
    meter.recordPlanned(createRun({ phase: "ordered", expectedInListsFrom: undefined }));
    meter.update();
    const next = createRun({ phase: "ordered", expectedInListsFrom: undefined });
    meter.recordPlanned(next);
    meter.update();
    assert.equal(delays, []);
    next.phase = "running";
    next.expectedInListsFrom = 7000;
    meter.update();
    meter.update();
    assert.equal(delays, [6000]);
});

suite("a short task that ends before the next look isn't measured", () => {
    const { meter, delays, createRun } = measure();
    meter.recordEnd(lost, createRun({}), "lost");
    const next = createRun({ expectedInListsFrom: 2500 });
    meter.recordPlanned(next);
    meter.recordEnd({ ...lost, reachable: true } as session.ServerSession, next, "done");
    meter.update();
    assert.equal(delays, [1500]);
});

suite("a run that a server no longer lists, or that failed, counts as lost with its server", () => {
    const { meter, delays, createRun } = measure();
    const server = { ...lost, reachable: true } as session.ServerSession;
    meter.recordEnd(server, createRun({}), "lost");
    meter.recordEnd(lost, createRun({}), "failed");
    meter.recordPlanned(createRun({ expectedInListsFrom: 3000 }));
    meter.update();
    assert.equal(delays, []);
});

suite("a lost task of a cancelled job is kept for good", () => {
    const { meter, delays, createRun, entry } = measure();
    meter.recordEnd(lost, createRun({}), "lost");
    entry.cancelledAt = 1;
    meter.update();
    entry.cancelledAt = undefined;
    meter.recordPlanned(createRun({ expectedInListsFrom: 3000 }));
    meter.update();
    assert.equal(delays, []);
});

suite("the coordinator doesn't report when the tasks of a crashed server start again", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(1000);
        world.submitOrdinary("00000000000000aa", 4, 30_000);
        await world.time.runUntil(11_000);
        const machine = world.findMachine(world.findServer("00000000000000aa.0.0.0")!);
        const taskCount = machine.server!.running.size;
        world.endServer(machine);
        machine.state = platform.machineCalls.MachineState.down;
        await world.time.runUntil(16_000);
        assert.is(world.restartDelays.length, taskCount);
        // The last list is up to one long poll older than the crash.
        assert.ok(world.restartDelays.every(delay => delay > 0 && delay < 5000), world.restartDelays.join());
    }
    finally {
        world.close();
    }
});

suite.run();
