/** Reservations: gaps are used, predictions may fail, and what waits is delayed by a bounded time. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("reservations");
const capacity = { cpu: 4000, memory: 4000, accelerators: 0 };
const policy: scheduling.ReservationPolicy = { ...scheduling.defaultReservationPolicy, bindingWait: 0 };

type Step = scheduling.PlacementRequest["step"];

interface Run {
    readonly server: string;
    readonly step: Step;
    /** In ms. */
    readonly endsAt: number;
    /** When its end is predicted; `endsAt` by default. */
    readonly predictedEnd: number;
}

/** Servers with runs, on a clock of the test. */
class World {
    now = 0;
    runs: Run[] = [];
    readonly loads: Map<string, scheduling.ServerLoad>;
    readonly boots = new Map<string, number>();
    readonly reservations: scheduling.Reservations;

    constructor(ids: readonly string[], overrides: Partial<scheduling.ReservationPolicy> = {}) {
        this.loads = new Map(ids.map(id => [id, fixtures.createLoad(id)]));
        this.reservations = new scheduling.Reservations({ ...policy, ...overrides });
    }

    run(server: string, cpu: number, endsAt: number, predictedEnd = endsAt): void {
        const step = createStep(cpu);
        scheduling.occupy(this.loads.get(server)!, step, "run");
        this.runs.push({ server, step, endsAt, predictedEnd });
    }

    /** Ends what is due at `now` and begins a pass, in which the steps of these keys wait. */
    beginPass(now: number, waiting: readonly string[]): void {
        this.now = now;
        for (const run of this.runs.filter(({ endsAt }) => endsAt <= now)) {
            scheduling.release(this.loads.get(run.server)!, run.step, "run");
        }
        this.runs = this.runs.filter(({ endsAt }) => endsAt > now);
        const open = [...this.loads.values()].filter(load => load.acceptsTasks);
        this.reservations.beginPass(
            new Map(open.map(load => [load.id, {
                load,
                bootId: `${load.id}@${this.boots.get(load.id) ?? 0}`,
                capacity,
                predictEnds: () =>
                    this.runs.filter(run => run.server === load.id)
                        .map(run => ({ remaining: Math.max(10, run.predictedEnd - now), step: run.step })),
            }])),
            stepKey => waiting.includes(stepKey),
            now,
        );
    }

    /** Tries to place the step; reserves if it fits nowhere. Returns the servers on which tasks were placed. */
    tryStep(stepKey: string, step: Step, duration: number | undefined = undefined): string[] {
        const open = [...this.loads.values()].filter(load => load.acceptsTasks);
        const tasks = Array.from({ length: step.taskCount }, (_, i) => i);
        const request = { stepKey, step, tasks, avoided: new Set<string>(), alone: false, expectedDuration: duration };
        const placed = scheduling.placeStep(request, open);
        if (placed.length > 0) {
            this.reservations.drop(stepKey);
        }
        else if (this.reservations.isLarge(step, tasks.length)) {
            if (this.reservations.mayUpdate(stepKey, 0)) {
                this.reservations.update(request, open);
            }
            else {
                this.reservations.bind(stepKey);
            }
        }
        if (duration !== undefined) {
            for (const { server } of placed) {
                this.runs.push({
                    server: server.id,
                    step,
                    endsAt: this.now + duration,
                    predictedEnd: this.now + duration,
                });
            }
        }
        return placed.map(({ server }) => server.id);
    }
}

function createStep(cpu: number, overrides: Partial<Step> = {}): Step {
    return fixtures.createStep({ taskCount: 1, demand: { cpu, memory: 10, accelerators: 0 }, ...overrides });
}

const large = createStep(3000);

suite("the step waits for another server than the one that has room first", () => {
    const world = new World(["a", "b", "c"]);
    world.run("a", 3500, 3000);
    world.run("b", 2000, 1000);
    world.run("b", 2000, 2000);
    world.run("c", 2500, 4000);
    world.beginPass(0, []);
    assert.equal(world.tryStep("large", large), []);
    assert.equal(world.reservations.listServers("large"), ["b"]);
});

suite("the gap before a reservation stays empty, or is taken by a task that isn't over in time", () => {
    const world = new World(["a", "b"]);
    world.run("a", 2000, 1000);
    world.run("b", 4000, 9000);
    world.beginPass(0, []);
    world.tryStep("large", large);
    assert.equal(world.reservations.listServers("large"), ["a"]);
    world.beginPass(10, ["large"]);
    world.tryStep("large", large);
    assert.equal(world.tryStep("long", createStep(1500), 1200), [], "ends after the reservation's time");
    assert.equal(world.tryStep("unknown", createStep(1500)), [], "may end at any time");
    assert.equal(world.tryStep("lasting", createStep(1500, { longRunning: true }), 100), [], "doesn't end");
    assert.equal(world.tryStep("short", createStep(1500), 900), ["a"]);
    assert.equal(world.tryStep("short 2", createStep(600), 900), [], "no room now");
    world.beginPass(1000, ["large"]);
    assert.equal(world.tryStep("large", large, 500), ["a"], "at the predicted time");
});

suite("a task that leaves room for the reserved one is kept off the server, or several of them take its room", () => {
    const world = new World(["a", "b"]);
    world.run("a", 2500, 1000);
    world.run("b", 4000, 9000);
    world.beginPass(0, []);
    world.tryStep("large", large);
    const placed = world.tryStep("long", createStep(400, { taskCount: 4 }), 5000);
    assert.equal(placed, ["a", "a"], "1000 are left beside the reserved task");
    world.beginPass(1000, ["large"]);
    assert.equal(world.tryStep("large", large, 500), ["a"]);
});

suite("memory or accelerators of the reserved task aren't kept for it", () => {
    const world = new World(["a", "b"]);
    world.run("a", 3500, 1000);
    world.run("b", 4000, 9000);
    world.beginPass(0, []);
    world.tryStep("large", createStep(1000, { demand: { cpu: 1000, memory: 3900, accelerators: 0 } }));
    const hungry = createStep(100, { demand: { cpu: 100, memory: 500, accelerators: 0 } });
    assert.equal(world.tryStep("hungry", hungry, 5000), []);
    assert.equal(world.tryStep("frugal", createStep(100), 5000), ["a"]);
});

suite("a wrong prediction moves the reservation without end, or lets other tasks take the server again", () => {
    const world = new World(["a", "b", "c", "d", "e"]);
    for (const [i, id] of ["a", "b", "c", "d", "e"].entries()) {
        // Each is said to end soon, and doesn't.
        world.run(id, 4000, 20_000 + i, 1000 + 100 * i);
    }
    const held = new Set<string>();
    let startedAt: number | undefined;
    world.beginPass(0, []);
    world.tryStep("large", large);
    for (let now = 10; startedAt === undefined && now < 60_000; now += 10) {
        world.beginPass(now, ["large"]);
        if (world.tryStep("large", large, 500).length > 0) {
            startedAt = now;
            break;
        }
        world.reservations.listServers("large").forEach(id => held.add(id));
        world.tryStep(`small ${now}`, createStep(1000), 10_000);
    }
    assert.ok(held.size <= 3, `${[...held].join()}: at most two moves`);
    assert.ok(startedAt! <= 20_010, `started at ${startedAt}, when the runs that were there before had ended`);
});

suite("tasks that turn out long push a reservation back again and again", () => {
    const world = new World(["a", "b"], { maxReservations: 1 });
    world.run("a", 2000, 1000);
    world.run("b", 4000, 100_000);
    world.beginPass(0, []);
    world.tryStep("large", large);
    const actual = 3000;
    let startedAt = 0;
    for (let now = 10; startedAt === 0 && now < 90_000; now += 10) {
        world.beginPass(now, ["large"]);
        if (world.tryStep("large", large, 500).length > 0) {
            startedAt = now;
            break;
        }
        // Predicted to end within 100 ms, and takes 3 s.
        const before = world.runs.length;
        world.tryStep(`small ${now}`, createStep(1000), 100);
        world.runs = world.runs.map((run, i) => i < before ? run : { ...run, endsAt: now + actual });
    }
    // One gap's tasks, which began before the predicted time, delay it; no later ones do.
    assert.ok(startedAt <= 1000 + actual, `started at ${startedAt}`);
});

suite("small tasks that arrive for ever keep a large one waiting", () => {
    const start = (overrides: Partial<scheduling.ReservationPolicy>) => {
        const world = new World(["a", "b", "c"], { ...overrides, bindingWait: 2000 });
        for (const id of ["a", "b", "c"]) {
            for (let i = 0; i < 4; i++) {
                world.run(id, 1000, 100 + 150 * i);
            }
        }
        for (let now = 0; now < 30_000; now += 10) {
            world.beginPass(now, ["large"]);
            // They have less slack, so they come first in each pass.
            for (let i = 0; i < 20; i++) {
                world.tryStep(`small ${now} ${i}`, createStep(1000), 600);
            }
            if (world.tryStep("large", large, 500).length > 0) {
                return now;
            }
        }
        return undefined;
    };
    assert.is(start({ maxReservations: 0 }), undefined, "the test's load does keep it waiting without a reservation");
    const startedAt = start({});
    // From 2 s on it binds the others; what runs then ends within 600 ms.
    assert.ok(startedAt !== undefined && startedAt <= 2000 + 600 + 10, `started at ${startedAt}`);
});

suite("a reservation of a server that is lost, drains or has a new boot keeps its step waiting for it", () => {
    const trials: Readonly<Record<string, (world: World) => void>> = {
        "lost or draining": world => world.loads.get("a")!.acceptsTasks = false,
        "new boot": world => world.boots.set("a", 1),
    };
    for (const [name, lose] of Object.entries(trials)) {
        const world = new World(["a", "b", "c"]);
        world.run("a", 4000, 1000);
        world.run("b", 4000, 2000);
        world.run("c", 4000, 3000);
        world.beginPass(0, []);
        world.tryStep("large", large);
        assert.equal(world.reservations.listServers("large"), ["a"], name);
        lose(world);
        world.beginPass(10, ["large"]);
        assert.equal(world.reservations.listServers("large"), [], name);
        world.tryStep("large", large);
        assert.is(world.reservations.listServers("large").length, 1, name);
        world.beginPass(20, []);
        assert.is(world.reservations.size, 0, "a step that no longer waits has none");
    }
});

suite("a gang never has all its servers at once, as tasks take one while it waits for another", () => {
    const gang = createStep(3000, { gang: true, taskCount: 2 });
    const world = new World(["a", "b", "c"]);
    world.run("a", 2000, 1000);
    world.run("b", 2000, 3000);
    world.run("c", 4000, 9000);
    world.beginPass(0, []);
    assert.equal(world.tryStep("gang", gang), []);
    assert.equal(world.reservations.listServers("gang").sort(), ["a", "b"]);
    for (let now = 10; now < 3000; now += 10) {
        world.beginPass(now, ["gang"]);
        assert.equal(world.tryStep("gang", gang), []);
        assert.equal(world.tryStep(`long ${now}`, createStep(1500), 4000), []);
    }
    assert.equal(world.tryStep("short", createStep(1500), 5).length, 1, "the gap is used");
    world.beginPass(3000, ["gang"]);
    assert.equal(world.tryStep("gang", gang, 500).sort(), ["a", "b"]);
});

suite("reserved servers hold up everything else of a service", () => {
    const ids = Array.from({ length: 9 }, (_, i) => `s${i}`);
    const world = new World(ids, { maxReservations: 100 });
    ids.forEach(id => world.run(id, 2000, 100_000));
    world.beginPass(0, []);
    const keys = Array.from({ length: 10 }, (_, i) => `large ${i}`);
    keys.forEach(key => world.tryStep(key, large));
    for (let now = 10; now < 100; now += 10) {
        world.beginPass(now, keys);
        keys.forEach(key => world.tryStep(key, large));
    }
    assert.is(world.reservations.size, 2, "at most a quarter of the servers");
    assert.is(world.tryStep("small", createStep(500, { longRunning: true })).length, 1);
});

suite("a step that no server will ever have room for keeps others from reserving", () => {
    const world = new World(["a", "b"]);
    world.run("a", 4000, 1000);
    world.run("b", 4000, 2000);
    const hopeless = createStep(3000, { requiredLabel: "none" });
    const keys = Array.from({ length: 50 }, (_, i) => `hopeless ${i}`);
    for (let now = 0; now < 400; now += 10) {
        world.beginPass(now, [...keys, "large"]);
        keys.forEach(key => world.tryStep(key, hopeless));
        world.tryStep("large", large);
    }
    assert.equal(world.reservations.listServers("large"), ["a"]);
});

suite("the work of one pass grows with the number of waiting steps times that of servers", () => {
    const serverCount = 400;
    const ids = Array.from({ length: serverCount }, (_, i) => `s${i}`);
    const world = new World(ids);
    ids.forEach((id, i) => world.run(id, 3500, 1000 + i));
    const keys = Array.from({ length: 4000 }, (_, i) => `large ${i}`);
    for (let pass = 0; pass < 3; pass++) {
        world.beginPass(10 * pass, keys);
        for (const [i, stepKey] of keys.entries()) {
            const step = createStep(1500 + i % 1500, { requiredLabel: i % 2 === 0 ? "none" : undefined });
            const request = { stepKey, step, tasks: [0], avoided: new Set<string>(), alone: false };
            world.reservations.mayBackfill(step, () => 1000 - i % 900);
            if (world.reservations.isOpen(0) && world.reservations.mayUpdate(stepKey, 0)) {
                world.reservations.update(request, [...world.loads.values()]);
            }
        }
        // Two searches over the servers, and two looks at the one reserved server for each step.
        const { evaluatedPairs } = world.reservations;
        assert.ok(evaluatedPairs <= 2 * serverCount + 2 * keys.length, `${evaluatedPairs}`);
    }
});

suite.run();
