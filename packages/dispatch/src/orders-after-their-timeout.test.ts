/** A start that got no response in time is carried out seconds later, by its server's next boot, with the longest lease. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("orders after their timeout");

/** Times in ms. */
const settledAt = 20_000;
const step = 25;
const observation = 20_000;
/** Longer than the longest lease, twice. */
const duration = 25_000;
const firstJob = "00000000000000aa";
const secondJob = "00000000000000bb";

class LateStartCourse {
    readonly world = new simulation.Simulation({ random: () => 0.5, machineCount: 2 });
    /** The server to which the first start was sent, and when. */
    target = "";
    startedAt = 0;
    isCutOff = false;

    /** @param lateness time in ms from the sending of the first start until it is carried out */
    constructor(lateness: number) {
        const { world } = this;
        world.decideFate = ({ target, kind }) => {
            if (kind === "start" && this.target === "") {
                this.target = target;
                this.startedAt = world.time.now;
                return { carriedOutAfter: lateness, answered: false };
            }
            const isLost = this.isCutOff && target === this.target;
            return { carriedOutAfter: isLost ? undefined : 2, answered: !isLost };
        };
    }

    async settle(): Promise<void> {
        this.world.startCoordinator();
        await this.world.time.runUntil(settledAt);
    }

    async submitFirst(): Promise<simulation.Simulation["machines"][number]> {
        this.world.submitOrdinary(firstJob, 1, duration);
        while (this.target === "") {
            await this.world.time.runUntil(this.world.time.now + 1);
        }
        return this.world.machines.find(({ server }) => server?.registration.id === this.target)!;
    }

    /** Returns the first and the last time in ms after the start at which a task runs twice, if one does. */
    async listDoubleRuns(job: string): Promise<number[]> {
        const { world } = this;
        const task = `${job}.0.0.0`;
        const twice: number[] = [];
        while (world.time.now < this.startedAt + observation) {
            await world.time.runUntil(world.time.now + step);
            if (world.machines.filter(({ server }) => server?.running.has(task) === true).length > 1) {
                twice.push(Math.round(world.time.now - this.startedAt));
            }
        }
        assert.ok(world.findServer(task) !== undefined, "the task runs");
        return twice.length === 0 ? [] : [twice[0]!, twice.at(-1)!];
    }
}

suite("a task runs twice, as a late start of another one extends the lease of the next boot", async () => {
    const lateness = 4000;
    const course = new LateStartCourse(lateness);
    const { world } = course;
    try {
        await course.settle();
        const { server } = await course.submitFirst();
        await world.time.runUntil(course.startedAt + 200);
        world.restartSilently(server!, { down: 1, registration: 300 });
        await world.time.runUntil(course.startedAt + 1000);
        const other = world.machines.find(machine => machine.server !== server)!.server!;
        other.draining = true;
        world.register(other);
        await world.time.runUntil(course.startedAt + 1500);
        world.submitOrdinary(secondJob, 1, duration);
        await world.time.runUntil(course.startedAt + lateness + 2 * step);
        assert.ok(server!.running.has(`${secondJob}.0.0.0`), "the next boot runs the task");
        course.isCutOff = true;
        other.draining = false;
        world.register(other);
        assert.equal(await course.listDoubleRuns(secondJob), []);
    }
    finally {
        world.close();
    }
});

suite("a task runs twice, as a list of machines ended a start that its server's next boot carries out", async () => {
    const course = new LateStartCourse(2300);
    const { world } = course;
    try {
        await course.settle();
        const { server } = await course.submitFirst();
        world.restartSilently(server!, { down: 2200, registration: 300 });
        const doubleRuns = await course.listDoubleRuns(firstJob);
        assert.ok(world.log.some(({ event }) => event === "server-ended"), "a list of machines ends the run");
        assert.equal(doubleRuns, []);
    }
    finally {
        world.close();
    }
});

suite.run();
