/** Placement: never above capacity, on as few servers as needed, gangs completely or not at all. */
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const seed = 20_261_204;
const suite = uvu.suite(`placing (seed ${seed})`);
const noServers: ReadonlySet<string> = new Set();

function place(
    step: Parameters<typeof fixtures.createStep>[0],
    servers: readonly scheduling.ServerLoad[],
): scheduling.Placement[] {
    const fullStep = fixtures.createStep(step);
    const tasks = Array.from({ length: fullStep.taskCount }, (_, i) => i);
    return scheduling.placeStep(
        { stepKey: "job.0.0", step: fullStep, tasks, avoided: noServers, alone: false },
        servers,
    );
}

suite("no server gets more tasks than its capacity allows, whatever the demands", () => {
    fastCheck.assert(
        fastCheck.property(
            fastCheck.array(
                fastCheck.record({
                    cpu: fastCheck.integer({ min: 0, max: 5000 }),
                    memory: fastCheck.integer({ min: 0, max: 5000 }),
                    tasks: fastCheck.integer({ min: 1, max: 6 }),
                    gang: fastCheck.boolean(),
                }),
                { maxLength: 12 },
            ),
            steps => {
                const servers = ["a", "b", "c"].map(id => fixtures.createLoad(id));
                for (const { cpu, memory, tasks, gang } of steps) {
                    place({ taskCount: tasks, gang, demand: { cpu, memory, accelerators: 0 } }, servers);
                }
                return servers.every(server => server.freeCpu >= 0 && server.freeMemory >= 0);
            },
        ),
        { seed, numRuns: 300 },
    );
});

suite("a step that fits is taken for one that doesn't, because an earlier one didn't fit", () => {
    const demands = fastCheck.record({
        cpu: fastCheck.integer({ min: 0, max: 5000 }),
        memory: fastCheck.integer({ min: 0, max: 5000 }),
        accelerators: fastCheck.integer({ min: 0, max: 1 }),
        filler: fastCheck.boolean(),
        label: fastCheck.constantFrom(undefined, "r1", "r2"),
        maxPerServer: fastCheck.integer({ min: 0, max: 1 }),
        tasks: fastCheck.integer({ min: 1, max: 4 }),
        gang: fastCheck.boolean(),
    });
    fastCheck.assert(
        fastCheck.property(fastCheck.array(demands, { maxLength: 30 }), steps => {
            const servers = ["a", "b", "c"].map(id =>
                fixtures.createLoad(id, { freeAccelerators: id === "a" ? 1 : 0, labels: id === "c" ? ["r2"] : ["r1"] })
            );
            const shortages = new scheduling.Shortages(scheduling.hasRoom);
            for (const [i, { cpu, memory, accelerators, label, tasks, ...rest }] of steps.entries()) {
                const step = fixtures.createStep({
                    ...rest,
                    demand: { cpu, memory, accelerators },
                    requiredLabel: label,
                    taskCount: tasks,
                });
                const isSkipped = shortages.includes(step);
                const request = { stepKey: `job.0.${i}`, step, tasks: [...Array(tasks).keys()], avoided: noServers };
                const placed = scheduling.placeStep({ ...request, alone: false }, servers);
                if (placed.length === 0) {
                    shortages.recordUnplaced(step, servers);
                }
                else if (isSkipped) {
                    return false;
                }
            }
            return true;
        }),
        { seed, numRuns: 1000 },
    );
});

suite("tasks share a server while it has capacity, so that others stay empty", () => {
    const servers = [fixtures.createLoad("a"), fixtures.createLoad("b", { freeCpu: 3000, runCount: 1 })];
    assert.equal(place({ taskCount: 3 }, servers).map(one => one.server.id), ["b", "b", "b"]);
});

suite("a gang is placed completely or not at all, and a failed attempt releases the capacity it occupied", () => {
    const servers = [fixtures.createLoad("a")];
    assert.equal(place({ taskCount: 5, gang: true }, servers), []);
    assert.is(servers[0]!.freeCpu, 4000);
    assert.is(place({ taskCount: 4, gang: true }, servers).length, 4);
});

suite("a gang whose tasks slow each other down across racks is placed on one rack if it fits there", () => {
    const servers = [
        fixtures.createLoad("a", { rack: "r1", freeCpu: 1000 }),
        fixtures.createLoad("b", { rack: "r2" }),
        fixtures.createLoad("c", { rack: "r1" }),
    ];
    const racks = place({ taskCount: 5, gang: true, sameRack: true }, servers).map(one => one.server.rack);
    assert.equal(new Set(racks), new Set(["r1"]));
});

suite("a required label and the limit of tasks per server are respected", () => {
    const servers = [fixtures.createLoad("a"), fixtures.createLoad("b", { labels: ["fast"] })];
    assert.equal(place({ taskCount: 3, requiredLabel: "fast", maxPerServer: 2 }, servers).map(one => one.server.id), [
        "b",
        "b",
    ]);
});

suite("a filler takes memory but no processor time", () => {
    const servers = [fixtures.createLoad("a", { freeCpu: 0 })];
    assert.is(place({ filler: true }, servers).length, 1);
    assert.is(servers[0]!.freeCpu, 0);
    assert.is(servers[0]!.freeMemory, 3900);
});

suite("a server on which a run of the job failed or stalled is chosen last", () => {
    const servers = [fixtures.createLoad("a", { runCount: 1 }), fixtures.createLoad("b")];
    const step = fixtures.createStep();
    const placed = scheduling.placeStep(
        { stepKey: "k", step, tasks: [0], avoided: new Set(["a"]), alone: false },
        servers,
    );
    assert.is(placed[0]?.server.id, "b");
});

suite(
    "tasks that start alone get a server each, beside few runs and none that may crash it, and keep others off",
    () => {
        const step = fixtures.createStep({ taskCount: 3 });
        const servers = [
            fixtures.createLoad("starting", { runCount: 1, startingRunCount: 1 }),
            fixtures.createLoad("busy", { runCount: 4 }),
            fixtures.createLoad("quiet", { runCount: 1 }),
            fixtures.createLoad("empty"),
        ];
        const request = { stepKey: "k", step, tasks: [0, 1], avoided: noServers, alone: true };
        const placed = scheduling.placeStep(request, servers);
        assert.equal(placed.map(one => one.server.id), ["empty", "quiet"]);
        const others = scheduling.placeStep({ ...request, tasks: [2, 3], alone: false }, servers);
        assert.equal(new Set(others.map(one => one.server.id)), new Set(["starting"]));
    },
);

suite("a gang that starts alone may share its servers, but keeps other tasks off them", () => {
    const step = fixtures.createStep({ taskCount: 3, gang: true });
    const servers = [fixtures.createLoad("a"), fixtures.createLoad("b", { runCount: 9 })];
    const request = { stepKey: "k", step, tasks: [0, 1, 2], avoided: noServers, alone: true };
    assert.equal(scheduling.placeStep(request, servers).map(one => one.server.id), ["a", "a", "a"]);
    assert.not(servers[0]!.acceptsTasks);
    assert.ok(servers[1]!.acceptsTasks);
});

suite.run();
