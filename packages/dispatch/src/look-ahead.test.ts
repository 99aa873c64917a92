/** Look-ahead placement by the coordinator's own decisions, without a network and on a clock of the test. */
import type * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as scheduling from "@catkinwharf/scheduling";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as session from "./server-session.js";
import * as placementPlay from "./testing/placement-play.js";

const suite = uvu.suite("look-ahead placement");
/** In ms. */
const tick = 10;
const serverCpu = 16_000;
const capacity = { cpu: serverCpu, memory: 64_000, accelerators: 0 };
const noQuota = () => new scheduling.QuotaUsage(new Map());

interface Task {
    readonly cpu: number;
    /** In ms. */
    readonly duration: number;
    readonly estimate?: number;
    readonly organisation?: string;
    readonly step?: Partial<jobState.Step>;
}

/** A placer whose runs take as long as the test says. */
class World {
    now = 0;
    readonly startedAt = new Map<string, number>();
    readonly servers: session.ServerSession[];
    readonly placing: ReturnType<typeof placementPlay.createPlacing>;
    readonly #durations = new Map<string, number>();
    #ends: { readonly at: number; readonly server: session.ServerSession; readonly run: session.ActiveRun; }[] = [];
    #lastId = 0;

    constructor(serverCount: number, policy = scheduling.defaultReservationPolicy) {
        this.servers = Array.from({ length: serverCount }, (_, i) => placementPlay.createServer(`s${i}`, capacity));
        this.placing = placementPlay.createPlacing(() => this.now, policy);
    }

    /** Submits a job of one step, of one task unless stated; returns its ID. */
    submit({ cpu, duration, estimate = duration, organisation, step }: Task): string {
        const id = (++this.#lastId).toString(16).padStart(16, "0");
        const job = jobTesting.createJob({
            id,
            organisation,
            steps: [jobTesting.createStep({
                taskCount: 1,
                estimate,
                demand: { cpu, memory: 10, accelerators: 0 },
                ...step,
            })],
            submittedAt: this.now,
        });
        this.#durations.set(id, duration);
        this.placing.registry.track({
            id,
            job,
            cancelledAt: undefined,
            progress: undefined,
            storedStatus: undefined,
            storedParts: new Set(),
        }, this.now);
        return id;
    }

    async runUntil(end: number, quota = noQuota, onTick: () => void = () => undefined): Promise<void> {
        for (; this.now < end; this.now += tick) {
            for (const { server, run } of this.#ends.filter(({ at }) => at <= this.now)) {
                placementPlay.endRun(this.placing.manager, server, run, this.now);
            }
            this.#ends = this.#ends.filter(({ at }) => at > this.now);
            onTick();
            const candidates = this.placing.registry.listCandidates(this.now).get("quotes") ?? [];
            for (const { server, run } of this.placing.planner.place(candidates, this.servers, quota())) {
                this.startedAt.set(run.entry.id, this.now);
                void this.placing.manager.start(server, run);
                this.#ends.push({ at: this.now + this.#durations.get(run.entry.id)!, server, run });
            }
            await timers.setImmediate();
        }
    }

    listReserved(): string[] {
        return this.servers.filter(({ load }) => load.reservation !== undefined).map(({ load }) => load.id);
    }
}

/** Keeps the servers full of small tasks, which end at different times, and returns when the large one started. */
async function startAmongSmallTasks(policy: scheduling.ReservationPolicy): Promise<number | undefined> {
    const world = new World(3, policy);
    let count = 0;
    const submitSmall = () => {
        for (let i = 0; i < 2; i++) {
            count += 1;
            world.submit({ cpu: 2000, duration: 600 + 10 * (count % 30) });
        }
    };
    await world.runUntil(1000, noQuota, submitSmall);
    const id = world.submit({ cpu: 14_000, duration: 500 });
    await world.runUntil(12_000, noQuota, submitSmall);
    return world.startedAt.get(id);
}

suite("small tasks that arrive for ever keep a large one waiting", async () => {
    const without = { ...scheduling.defaultReservationPolicy, maxReservations: 0, maxAgedReservations: 0 };
    assert.is(await startAmongSmallTasks(without), undefined, "the test's load does keep it waiting");
    const startedAt = await startAmongSmallTasks(scheduling.defaultReservationPolicy);
    // The reservation binds the others after 2 s at the latest; what runs then ends within 900 ms.
    assert.ok(startedAt !== undefined && startedAt - 1000 <= 2000 + 900 + 2 * tick, `started at ${startedAt}`);
});

suite("small tasks wait although they end before the reserved time, or longer ones take the gap", async () => {
    const world = new World(2, { ...scheduling.defaultReservationPolicy, bindingWait: 0 });
    // Each server has 2 cores left until its long task ends.
    world.submit({ cpu: 14_000, duration: 20_000 });
    world.submit({ cpu: 14_000, duration: 9000 });
    await world.runUntil(100);
    const large = world.submit({ cpu: 15_000, duration: 500 });
    await world.runUntil(200);
    assert.is(world.listReserved().length, 1);
    const long = Array.from({ length: 3 }, () => world.submit({ cpu: 2000, duration: 15_000 }));
    await world.runUntil(300);
    const short = Array.from({ length: 3 }, () => world.submit({ cpu: 2000, duration: 300 }));
    await world.runUntil(2000);
    assert.is(short.filter(id => world.startedAt.has(id)).length, 3);
    assert.is(world.placing.planner.backfilledTasks, 3);
    await world.runUntil(9000);
    assert.is(long.filter(id => world.startedAt.has(id)).length, 1, "on the server that isn't reserved");
    await world.runUntil(9100);
    assert.is(world.startedAt.get(large), 9000);
});

suite("a run that takes seven times as long keeps the step that waits for its server", async () => {
    const world = new World(4);
    // Teaches the prediction the typical duration.
    for (let i = 0; i < 40; i++) {
        world.submit({ cpu: 1000, duration: 500, estimate: 300 });
    }
    await world.runUntil(1000);
    world.submit({ cpu: 14_000, duration: 3500, estimate: 300 });
    await world.runUntil(1100);
    for (let i = 0; i < 3; i++) {
        world.submit({ cpu: 14_000, duration: 2500 + 10 * i, estimate: 1500 });
    }
    await world.runUntil(1200);
    const large = world.submit({ cpu: 12_000, duration: 500, estimate: 300 });
    // Tasks that take each bit of room keep arriving; the first server is said to be free at about 1.5 s.
    await world.runUntil(6000, noQuota, () => void world.submit({ cpu: 1000, duration: 700, estimate: 400 }));
    const startedAt = world.startedAt.get(large);
    assert.ok(startedAt !== undefined && startedAt <= 1100 + 2520 + 700 + 2 * tick, `started at ${startedAt}`);
});

suite("a step that its quota holds back reserves a server", async () => {
    const world = new World(2);
    world.submit({ cpu: 10_000, duration: 5000 });
    world.submit({ cpu: 10_000, duration: 5000 });
    await world.runUntil(100);
    world.submit({ cpu: 12_000, duration: 500, organisation: "a" });
    let limit = 8000;
    const quota = () => {
        const usage = new scheduling.QuotaUsage(new Map([["a", { cpu: limit, memory: 0, accelerators: 0 }]]));
        usage.add("a", { cpu: 5000, memory: 0, accelerators: 0 });
        return usage;
    };
    await world.runUntil(3000, quota);
    assert.equal(world.listReserved(), []);
    limit = 20_000;
    await world.runUntil(3100, quota);
    assert.is(world.listReserved().length, 1);
    limit = 8000;
    await world.runUntil(3200, quota);
    assert.equal(world.listReserved(), [], "the quota was lowered");
});

suite("a server that is lost while it is reserved, or its reservation, holds up the step", async () => {
    const world = new World(3);
    world.submit({ cpu: 14_000, duration: 1000 });
    world.submit({ cpu: 14_000, duration: 2000 });
    world.submit({ cpu: 14_000, duration: 2500 });
    await world.runUntil(100);
    const large = world.submit({ cpu: 12_000, duration: 500 });
    await world.runUntil(300);
    const [reserved] = world.listReserved();
    const lost = world.servers.find(({ load }) => load.id === reserved)!;
    lost.load.acceptsTasks = false;
    await world.runUntil(400);
    const next = world.listReserved().filter(id => id !== reserved);
    assert.is(next.length, 1);
    await world.runUntil(3000);
    assert.is(world.startedAt.get(large), 2000);
});

suite("small tasks are placed differently than without look-ahead", async () => {
    const options = {
        seed: 1,
        serverCount: 8,
        overload: 1.5,
        classes: [{ cpu: [600, 3900], memory: [1000, 9000] }],
    } as const;
    const policy = scheduling.defaultReservationPolicy;
    const withoutLookAhead = { ...policy, minShare: Number.POSITIVE_INFINITY };
    const before = await placementPlay.play({ ...options, policy: withoutLookAhead });
    const after = await placementPlay.play({ ...options, policy });
    assert.equal({ ...after, passTime: 0 }, { ...before, passTime: 0 });
});

suite.run();
