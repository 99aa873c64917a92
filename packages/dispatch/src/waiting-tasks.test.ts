/** Logs must tell why a task isn't started while servers have room, and name runs that nothing ends. */
import * as jobState from "@catkinwharf/job-state";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("waiting tasks");
const jobId = "00000000000000aa";

interface Row {
    readonly task: string;
    readonly reason: string;
    readonly withRoom: number;
    readonly closed: object;
}

/** Runs a coordinator with one server for 5 s, then `disturb`, and returns the lines of the 15 s after that. */
async function play(disturb: (world: simulation.Simulation) => void): Promise<simulation.LogLine[]> {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 1 });
    try {
        world.startCoordinator();
        await world.time.runUntil(5000);
        disturb(world);
        await world.time.runUntil(20_000);
        return world.log.filter(({ event }) => event === "tasks-waiting" || event === "runs-stuck");
    }
    finally {
        world.close();
    }
}

function listRows(lines: readonly simulation.LogLine[]): Row[] {
    return lines.flatMap(({ fields }) => fields["tasks"] as Row[]);
}

suite("names a task that waits for a server that is out of reach, every few seconds", async () => {
    const lines = await play(world => {
        world.decideFate = () => ({ carriedOutAfter: undefined, answered: false });
        world.time.schedule(() => world.submitOrdinary(jobId, 2, 1000), 4500);
    });
    assert.ok(lines.length > 0 && lines.length <= 4, `${lines.length} lines`);
    for (const { task, reason, withRoom, closed } of listRows(lines)) {
        assert.equal([task, reason, withRoom, closed], [`${jobId}.0.0.0`, "no server open", 1, { unreachable: 1 }]);
    }
});

suite("names a task that its quota holds back, and none that waits for room", async () => {
    const limit = { cpu: 4000, memory: 50_000, accelerators: 0 };
    const overrides = { demand: { cpu: 4000, memory: 100, accelerators: 0 } };
    const lines = await play(world => {
        world.configure([{ name: "a", keys: [], limit, weight: 1 }]);
        world.submitOrdinary(jobId, 2, 60_000, overrides, "a");
        world.submitOrdinary("00000000000000bb", 40, 60_000, overrides);
    });
    assert.equal([...new Set(listRows(lines).map(({ task, reason }) => `${task} ${reason}`))], []);
    const withRoom = await play(world => {
        world.configure([{ name: "a", keys: [], limit, weight: 1 }]);
        world.submitOrdinary(jobId, 2, 60_000, overrides, "a");
    });
    assert.equal([...new Set(listRows(withRoom).map(({ task, reason }) => `${task} ${reason}`))], [
        `${jobId}.0.0.1 over quota`,
    ]);
});

suite("names a stored run that no server's session has, and no run that goes on", async () => {
    const lines = await play(world => {
        world.submitOrdinary(jobId, 2, 60_000);
        world.time.schedule(() => {
            const active = world.current!.coordinator.registry.active.get(jobId)!;
            const occurrence = jobState.getOrCreateOccurrence(active.progress, active.job, 0);
            jobState.getOrCreateHistory(occurrence, 1).runs.push({ number: 9, server: "s99@1" });
        }, 1000);
    });
    assert.ok(lines.length > 0);
    for (const { event, fields } of lines) {
        assert.equal([event, fields["count"], fields["runs"]], ["runs-stuck", 1, [
            { run: `${jobId}.0.0.1/9`, boot: "s99@1", cause: "not followed" },
        ]]);
    }
});

suite.run();
