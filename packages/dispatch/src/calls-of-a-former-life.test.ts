/**
 * Calls that were meant for a server's former life and that a later one carries out seconds after their timeout, as its ID, its
 * address and the coordinator's epoch are the same.
 */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as randomFaults from "./testing/random-faults.js";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("calls of a former life");

/** Times in ms. */
const settledAt = 20_000;
/** Longer than the longest lease, twice. */
const duration = 25_000;
const shortDuration = 100;
const observation = 70_000;
const firstJob = "00000000000000aa";
const secondJob = "00000000000000bb";
const firstTask = `${firstJob}.0.0.0`;
const fates = {
    lost: { carriedOutAfter: undefined, answered: false },
    unanswered: { carriedOutAfter: 2, answered: false },
    unhealthy: { carriedOutAfter: 2, answered: true, refusedAsUnhealthy: true },
} as const satisfies Readonly<Record<string, simulation.Fate>>;
/** Longer than the course. */
const unregistered = 90_000;
/** From the end of a task until it is stored, and so acknowledged by the next call. */
const storeDelay = 8;

type CallKind = simulation.CallDescription["kind"];

/** Two servers, of which the other one gets no tasks until it is released. */
class Course {
    readonly world = new simulation.Simulation({ random: () => 0.5, machineCount: 2 });
    readonly #servers = this.world.machines.map(({ server }) => server!);
    readonly server = this.#servers[0]!;
    /** Overrules the ordinary fate of calls to the server. */
    decide: (kind: CallKind) => simulation.Fate | undefined = () => undefined;
    /** Kinds of calls of which the next one is carried out late, without a response, and by how many ms. */
    readonly #lateness = new Map<CallKind, number>();

    constructor() {
        const { world, server } = this;
        world.decideFate = ({ target, kind }) => {
            if (target !== server.registration.id) {
                return { carriedOutAfter: 2, answered: true };
            }
            const lateness = this.#lateness.get(kind);
            if (lateness !== undefined) {
                this.#lateness.delete(kind);
                return { carriedOutAfter: lateness, answered: false, outlastsConnection: true };
            }
            return this.decide(kind) ?? { carriedOutAfter: 2, answered: true };
        };
    }

    async settle(): Promise<void> {
        this.world.startCoordinator();
        this.#drainOther(true);
        await this.world.time.runUntil(settledAt);
    }

    #drainOther(draining: boolean): void {
        const other = this.#servers[1]!;
        other.draining = draining;
        this.world.register(other);
    }

    /** Further tasks start on the other server; the first one refuses them. */
    release(): void {
        this.#drainOther(false);
        this.decide = kind => kind === "start" ? fates.unhealthy : undefined;
    }

    /** Nothing that is sent to the server from now on arrives; tasks start on the other one. */
    cutOff(): void {
        this.release();
        this.decide = () => fates.lost;
    }

    async pass(time: number): Promise<void> {
        await this.world.time.runUntil(this.world.time.now + time);
    }

    async passUntil(isMet: () => boolean): Promise<void> {
        const from = this.world.time.now;
        while (!isMet()) {
            assert.ok(this.world.time.now < from + observation, "the course isn't played");
            await this.pass(1);
        }
    }

    /** Resolves when a call of the kind that is carried out late has been sent. */
    async delayNext(kind: CallKind, lateness: number): Promise<void> {
        this.#lateness.set(kind, lateness);
        await this.passUntil(() => !this.#lateness.has(kind));
    }

    /** Submits a task whose start is carried out late; resolves when it has been sent. */
    async submitDelayed(lateness: number, taskDuration = duration): Promise<void> {
        this.world.submitOrdinary(firstJob, 1, taskDuration);
        await this.delayNext("start", lateness);
    }

    /** Runs a short task, and delays the call that acknowledges its end. */
    async delayAcknowledgement(lateness: number): Promise<void> {
        this.world.submitOrdinary(secondJob, 1, shortDuration);
        await this.passUntil(() => this.world.doneTasks === 1);
        await this.pass(storeDelay);
        await this.delayNext("renewal", lateness);
    }

    /** @param registration time in ms until the next life has registered */
    restart(registration: number): void {
        this.world.restartSilently(this.server, { down: 1, registration });
    }

    get isListedAnew(): boolean {
        return this.world.log.some(({ event }) => event === "server-boot" || event === "server-rebooted");
    }

    /** Restarts the server a second time; the third life isn't listed before it has carried out the late start. */
    async restartAgain(): Promise<void> {
        await this.passUntil(() => this.world.findServer(firstTask) !== undefined);
        this.restart(unregistered);
        this.decide = kind => kind === "renewal" ? fates.lost : undefined;
        await this.passUntil(() => this.server.hasRun(firstTask));
        this.decide = () => undefined;
    }

    /** Kills the coordinator, and starts the next one a second later. */
    async replaceCoordinator(): Promise<void> {
        this.world.kill();
        await this.pass(1000);
        this.world.startCoordinator();
    }

    /** Lets the course come to its end, at which so many tasks are done. */
    async assertRunsOnce(tasks: number): Promise<void> {
        await this.pass(observation);
        assert.equal(this.world.singleRunRule.violations, []);
        assert.ok(this.world.doneTasks >= tasks, "a task isn't done");
    }
}

function test(name: string, play: (course: Course) => Promise<void>): void {
    suite(name, async () => {
        const course = new Course();
        try {
            await course.settle();
            await play(course);
        }
        finally {
            course.world.close();
        }
    });
}

test("a task that is done runs again, as a late acknowledgement hides its end in a listed next life", async course => {
    await course.delayAcknowledgement(6000);
    await course.pass(3000);
    course.decide = kind => kind === "renewal" && course.isListedAnew ? fates.unanswered : undefined;
    course.restart(300);
    await course.passUntil(() => course.isListedAnew);
    course.world.submitOrdinary(firstJob, 1, shortDuration);
    await course.passUntil(() => course.world.doneTasks === 2);
    course.cutOff();
    await course.assertRunsOnce(2);
});

test("a task that is done runs again, as a late acknowledgement hides its end before the first list", async course => {
    await course.delayAcknowledgement(600);
    await course.submitDelayed(250, shortDuration);
    course.restart(unregistered);
    await course.passUntil(() => course.world.doneTasks === 2);
    course.release();
    await course.assertRunsOnce(2);
});

test("a task runs twice, as a renewal later than its timeout extends the lease of a listed next life", async course => {
    await course.delayNext("renewal", 6000);
    await course.pass(3000);
    course.restart(300);
    await course.passUntil(() => course.isListedAnew);
    course.world.submitOrdinary(firstJob, 1, duration);
    await course.passUntil(() => course.server.running.has(firstTask));
    await course.pass(1000);
    course.cutOff();
    await course.assertRunsOnce(1);
});

test("a task runs twice, as a late renewal extends the lease of a next life that isn't listed", async course => {
    await course.delayNext("renewal", 6000);
    await course.pass(100);
    course.restart(unregistered);
    course.world.submitOrdinary(firstJob, 1, duration);
    await course.passUntil(() => course.server.running.has(firstTask));
    course.cutOff();
    await course.assertRunsOnce(1);
});

test("a task runs twice, as a start that was stopped is carried out before the next life's first list", async course => {
    await course.submitDelayed(6000);
    course.release();
    await course.restartAgain();
    await course.assertRunsOnce(1);
});

test("a task runs twice, as a next life carries out a start that its former life was sent again", async course => {
    course.world.submit(firstJob, 1, 1, 8000);
    await course.delayNext("start", 3000);
    await course.pass(2800);
    assert.ok(course.server.running.has(firstTask), "the former life runs the task");
    course.restart(unregistered);
    course.cutOff();
    await course.assertRunsOnce(0);
});

test("a task runs twice, as the second of two restarts follows the stop of its late start", async course => {
    await course.submitDelayed(9000);
    await course.pass(200);
    course.restart(300);
    await course.passUntil(() => course.isListedAnew);
    course.release();
    await course.restartAgain();
    await course.assertRunsOnce(1);
});

test("a task runs twice, as a successor's first list comes before its server's second restart", async course => {
    await course.submitDelayed(9000);
    await course.pass(100);
    course.restart(300);
    course.release();
    await course.replaceCoordinator();
    await course.restartAgain();
    await course.assertRunsOnce(1);
});

test("a task runs twice, as a start carried out seconds late gives a next life the longest lease", async course => {
    await course.submitDelayed(6000);
    course.restart(unregistered);
    course.cutOff();
    await course.assertRunsOnce(1);
});

test("a task runs twice, as a successor expects no start carried out seconds late in a next life", async course => {
    await course.submitDelayed(11_000);
    course.restart(unregistered);
    course.cutOff();
    await course.replaceCoordinator();
    await course.assertRunsOnce(1);
});

suite("a task runs twice in a random course with calls of all kinds that later lives carry out", async () => {
    const found: string[] = [];
    for (const seed of Array.from({ length: 20 }, (_, i) => i + 1)) {
        const run = new randomFaults.FaultyRun({
            seed,
            disturbServers: true,
            restartServers: true,
            delaysFormerCalls: true,
        });
        await run.play();
        const { violations } = run.world.singleRunRule;
        found.push(...violations.map(violation => `seed ${seed}: ${JSON.stringify(violation)}`));
    }
    assert.equal(found, []);
});

suite.run();
