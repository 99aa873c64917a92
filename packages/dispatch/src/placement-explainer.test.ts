/** Explanations agree with what the placer does next, and change nothing that it decides by. */
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import type * as platform from "@catkinwharf/platform";
import type * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as placementExplainer from "./placement-explainer.js";
import * as quotaMeter from "./quota-meter.js";
import type * as session from "./server-session.js";
import * as placementPlay from "./testing/placement-play.js";

const suite = uvu.suite("placement explainer");
const capacity = { cpu: 4000, memory: 4000, accelerators: 0 };
const noLimit = { cpu: 0, memory: 0, accelerators: 0 };

interface Task {
    readonly cpu: number;
    readonly tasks?: number;
    readonly organisation?: string;
    readonly steps?: readonly Partial<jobState.Step>[];
}

class World {
    now = 1000;
    organisations: platform.operatorRecords.Organisation[] = [];
    readonly servers: session.ServerSession[];
    readonly placing: ReturnType<typeof placementPlay.createPlacing>;
    readonly explainer: placementExplainer.PlacementExplainer;
    readonly entries = new Map<string, jobState.JobEntry>();
    tickets: readonly session.ServerSession[] = [];

    constructor(serverCount: number) {
        this.servers = Array.from({ length: serverCount }, (_, i) => placementPlay.createServer(`s${i}`, capacity));
        this.placing = placementPlay.createPlacing(() => this.now);
        this.explainer = new placementExplainer.PlacementExplainer({
            registry: this.placing.registry,
            sessions: new Map(this.servers.map(server => [server.entry.id, server])),
            placer: this.placing.planner,
            tickets: { listPermitted: () => this.tickets },
            clock: { wall: () => this.now, monotonic: () => this.now },
            configuration: () => this.createConfiguration(),
        });
    }

    createConfiguration(): platform.operatorRecords.Configuration {
        return { version: 1, routes: [], services: [], organisations: this.organisations, maxBodyBytes: 1 };
    }

    createJob({ cpu, tasks = 1, organisation, steps = [{}] }: Task): jobState.Job {
        return jobTesting.createJob({
            id: (this.entries.size + 1).toString(16).padStart(16, "0"),
            organisation,
            steps: steps.map(step =>
                jobTesting.createStep({ taskCount: tasks, demand: { cpu, memory: 10, accelerators: 0 }, ...step })
            ),
            submittedAt: this.now,
        });
    }

    submit(task: Task): string {
        const job = this.createJob(task);
        const entry = {
            id: job.id,
            job,
            cancelledAt: undefined,
            progress: undefined,
            storedStatus: undefined,
            storedParts: new Set<string>(),
        };
        this.entries.set(job.id, entry);
        this.placing.registry.track(entry, this.now);
        return job.id;
    }

    /** Runs a pass; returns the servers of the tasks that it starts. */
    pass(): string[] {
        const candidates = this.placing.registry.listCandidates(this.now).get("quotes") ?? [];
        const quota = quotaMeter.measureQuotaUsage(this.createConfiguration(), this.servers);
        return this.placing.planner.place(candidates, this.servers, quota).map(({ server }) => server.entry.id);
    }

    explain(id: string): types.PlacementExplanation {
        return this.explainer.explainKnown(this.entries.get(id)!)!;
    }

    preview(task: Task): types.PlacementExplanation {
        return this.explainer.explainSubmission(this.createJob(task));
    }
}

suite("the servers that are named aren't those on which the next pass starts the tasks", () => {
    const world = new World(3);
    world.submit({ cpu: 2500, tasks: 2 });
    world.pass();
    const task = { cpu: 1500, tasks: 3 };
    const { verdict, steps } = world.preview(task);
    assert.is(verdict, "starts");
    const id = world.submit(task);
    assert.equal(world.explain(id).steps[0]!.placements, steps[0]!.placements);
    assert.equal(world.pass().sort(), [...steps[0]!.placements].sort());
    assert.is(world.explain(id).verdict, "running");
    assert.is(world.explain(id).steps[0]!.runningOn.length, 3);
});

suite("an explanation occupies a server, tracks a job or changes the queue", () => {
    const world = new World(1);
    world.submit({ cpu: 3000 });
    world.pass();
    const waiting = world.submit({ cpu: 2000 });
    world.pass();
    const load = { ...world.servers[0]!.load, runCountByStep: new Map(world.servers[0]!.load.runCountByStep) };
    for (const cpu of [500, 2000]) {
        world.preview({ cpu, tasks: 8 });
        world.explain(waiting);
    }
    assert.equal(world.servers[0]!.load, load);
    assert.is(world.placing.registry.active.size, 2);
    assert.equal(world.placing.registry.listUnplaced().get("quotes")!.map(one => one.active.job.id), [waiting]);
});

suite("a step that waits for room isn't told how many are before it, what servers lack and when one has room", () => {
    const world = new World(2);
    world.submit({ cpu: 4000, tasks: 2 });
    world.pass();
    world.now += 200;
    const first = world.submit({ cpu: 2000 });
    const second = world.submit({ cpu: 2000 });
    world.pass();
    const { verdict, steps: [step] } = world.explain(second);
    assert.equal([verdict, step!.blocker, step!.stepsBefore], ["waits", "servers", 1]);
    assert.equal(step!.lackCounts["processor"], 2);
    // The runs are estimated at 1000 ms, and are 200 ms old.
    assert.is(step!.servers.find(({ wait }) => wait !== undefined)!.wait, 800);
    assert.is(world.preview({ cpu: 2000 }).steps[0]!.stepsBefore, 2);
    assert.is(world.explain(first).steps[0]!.stepsBefore, 0);
    assert.is(world.explain(first).steps[0]!.predictedStart, 800);
});

suite("a reservation in the way of a step isn't named, or its owner isn't told its time", () => {
    const world = new World(2);
    world.submit({ cpu: 3000, tasks: 2 });
    world.pass();
    const owner = world.submit({ cpu: 4000 });
    world.pass();
    const reserved = world.servers.find(({ load }) => load.reservation !== undefined)!.entry.id;
    world.now += 10;
    world.pass();
    const { reservation, predictedStart } = world.explain(owner).steps[0]!;
    assert.is(reservation?.server, reserved);
    assert.is(predictedStart, reservation?.wait);
    assert.ok(predictedStart! > 0 && predictedStart! <= 1000, String(predictedStart));
    const { steps: [step] } = world.preview({ cpu: 1000, steps: [{ estimate: 60_000 }] });
    const server = step!.servers.find(one => one.server === reserved)!;
    assert.equal([server.lacks, server.reservedFor], [["reserved"], `${owner}.0.0`]);
    assert.is(step!.placements.includes(reserved), false);
});

suite("a server that a pass keeps for a small step is named for another one", () => {
    const world = new World(2);
    world.submit({ cpu: 3500, tasks: 2 });
    world.pass();
    const kept = world.submit({ cpu: 900 }); // Below a quarter of a server, so it gets no reservation.
    world.now += 10;
    world.pass();
    const { server, stepKey } = world.placing.planner.findKeptServer("quotes")!;
    assert.is(stepKey, `${kept}.0.0`);
    const small = world.submit({ cpu: 400, tasks: 2 });
    const explained = world.explain(small).steps[0]!;
    assert.is(explained.placements.includes(server), false);
    assert.is(explained.servers.find(one => one.server === server)!.reservedFor, stepKey);
    assert.equal(world.pass(), explained.placements);
});

suite("a step over its organisation's quota is said to wait for a server", () => {
    const world = new World(4);
    world.organisations = [
        { name: "a", keys: [], weight: 2, limit: { ...noLimit, cpu: 2000 }, priority: 0 } as never,
    ];
    world.submit({ cpu: 1500, organisation: "a" });
    world.pass();
    const { verdict, organisation, steps: [step] } = world.preview({ cpu: 1000, organisation: "a" });
    assert.equal([verdict, step!.blocker, step!.allowedByQuota], ["waits", "quota", 0]);
    assert.is(step!.predictedStart, undefined);
    assert.equal([organisation!.usage.cpu, organisation!.quota.cpu, organisation!.weight], [1500, 2000, 2]);
    assert.is(organisation!.share, 1500 / 16_000 / 2);
    assert.is(world.preview({ cpu: 500, organisation: "a" }).verdict, "starts");
    // A step that waits for the quota has half of it reserved, so that the next one has to wait, too.
    world.submit({ cpu: 1000, organisation: "a" });
    world.pass();
    const small = world.submit({ cpu: 500, organisation: "a" });
    assert.is(world.explain(small).steps[0]!.blocker, "quota");
    assert.equal(world.pass(), []);
});

suite("a step that depends on others isn't told on which, or a job that has ended is said to wait", () => {
    const world = new World(1);
    const id = world.submit({ cpu: 500, steps: [{}, { dependsOn: [0] }] });
    const { steps } = world.explain(id);
    assert.equal(steps.map(({ blocker }) => blocker), [undefined, "notReady"]);
    assert.equal(steps[1]!.waitsForSteps, [0]);
    world.pass();
    const [server] = world.servers;
    placementPlay.endRun(world.placing.manager, server!, [...server!.runs.values()][0]!, world.now);
    assert.equal(world.explain(id).steps.map(({ step }) => step), [1]);
    world.pass();
    placementPlay.endRun(world.placing.manager, server!, [...server!.runs.values()][0]!, world.now);
    assert.equal([world.explain(id).verdict, world.explain(id).status], ["ended", "completed"]);
});

suite("a job whose submission is not known is explained, or one with many steps takes the coordinator's time", () => {
    const world = new World(1);
    const unknown = { id: "1", job: undefined, cancelledAt: 1, progress: undefined, storedStatus: undefined };
    assert.is(world.explainer.explainKnown({ ...unknown, storedParts: new Set() }), undefined);
    const { steps, stepsLeftOut } = world.preview({ cpu: 1, steps: Array.from({ length: 100 }, () => ({})) });
    assert.equal([steps.length, stepsLeftOut], [8, 92]);
});

suite("a step with a route that requires tickets starts without one", () => {
    const world = new World(2);
    const id = world.submit({ cpu: 500 });
    const active = world.placing.registry.active.get(id)!;
    active.route = { ...active.route!, advice: { decision: 1, perServer: 1, validity: 1 } };
    assert.is(world.explain(id).steps[0]!.blocker, "ticket");
    world.tickets = [world.servers[1]!];
    const [step] = world.explain(id).steps;
    assert.equal([step!.needsTicket, step!.placements], [true, ["s1"]]);
});

suite("a job beyond the rate is said to start while a step within its own waits for room", () => {
    const world = new World(1);
    world.organisations = ["a", "b"].map(name => ({ name, keys: [], weight: 1, limit: noLimit, priority: 0 } as never));
    world.placing.registry.applyConfiguration(world.createConfiguration());
    world.submit({ cpu: 3000, organisation: "b" });
    world.pass();
    world.submit({ cpu: 2000, organisation: "b" });
    for (let i = 0; i < 6; i++) {
        world.submit({ cpu: 4000, organisation: "a" });
    }
    world.pass();
    // The objective allows 1.6 times 1000 ms and 600 ms, so the step within its rate is near its latest start.
    assert.is(world.preview({ cpu: 500, organisation: "a" }).steps[0]!.blocker, "rate");
    assert.is(world.preview({ cpu: 500, organisation: "b" }).organisation!.beyondRate, false);
});

suite.run();
