/** A coordinator doesn't misjudge the lease, nor the end, of a run whose start reached its server's next boot. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as simulatedServer from "./testing/simulated-server.js";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("starts on the next boot");

/** Times in ms. */
const settledAt = 20_000;
const step = 25;
/** Longer than the longest lease, twice. */
const duration = 25_000;
const observation = 22_000;
const callTimeout = 700;
const idlePollWait = 2000;
const busyPollWait = 1000;
const retryDelay = 250;
/** From the end of a lease of 4,500 ms, by a server's clock that may be slow, until its runs count as gone. */
const leaseExpiry = 4500 / 0.98 + 250;
/** Time for storing an intent and sending a start. */
const startDelay = 100;
const takeoverTime = 1000;
const jobId = "00000000000000aa";
const task = `${jobId}.0.0.0`;
const ordinaryFate: simulation.Fate = { carriedOutAfter: 2, answered: true };
const lostFate: simulation.Fate = { carriedOutAfter: undefined, answered: false };

/** In ms: reading at which the clock of the next boot begins, by what the coordinator has last read of the one before. */
type ClockStart = (last: number, expected: number) => number;
const clockStarts = {
    lower: () => 0,
    betweenLastAndExpected: last => last + 5,
    aheadByLatency: (_, expected) => expected + 300,
    aheadOfExpected: (_, expected) => expected + 1500,
    pastLease: (_, expected) => expected + 8_000_000,
} as const satisfies Readonly<Record<string, ClockStart>>;

class NextBootCourse {
    readonly world: simulation.Simulation;
    /** Time at which the latest poll of each server was sent, right after the answer to the one before. */
    readonly #polledAt = new Map<string, number>();
    /** Overrules the ordinary fate of calls. */
    decide: (call: simulation.CallDescription) => simulation.Fate | undefined = () => undefined;
    #nextClockStart = 0;

    constructor() {
        this.world = new simulation.Simulation({
            random: () => 0.5,
            machineCount: 3,
            chooseClockStart: () => this.#nextClockStart,
        });
        this.world.decideFate = call => {
            if (call.kind === "renewal") {
                this.#polledAt.set(call.target, this.world.time.now);
            }
            return this.decide(call) ?? ordinaryFate;
        };
    }

    /** Plays until all servers are idle, and `delay` ms have passed since the latest poll of each was sent. */
    async settle(delay: number): Promise<void> {
        this.world.startCoordinator();
        await this.world.time.runUntil(settledAt);
        const isDue = () => [...this.#polledAt.values()].every(at => at > settledAt);
        await this.passUntil(isDue);
        await this.pass(delay);
    }

    /** Lets time pass until the condition holds, which it must before long. */
    async passUntil(isMet: () => boolean): Promise<void> {
        const from = this.world.time.now;
        while (!isMet()) {
            assert.ok(this.world.time.now < from + observation, "the course isn't played");
            await this.pass(step);
        }
    }

    async pass(time: number): Promise<void> {
        await this.world.time.runUntil(this.world.time.now + time);
    }

    findServer(id: string): simulatedServer.SimulatedServer {
        return this.world.machines.find(({ server }) => server?.registration.id === id)!.server!;
    }

    /** The server restarts silently; the clocks of first boots begin at 0 with the simulation. */
    restart(id: string, clockStart: ClockStart, times: simulation.RestartTimes): void {
        this.#nextClockStart = clockStart(this.#polledAt.get(id)!, this.world.time.now);
        this.world.restartSilently(this.findServer(id), times);
    }

    countRuns(): number {
        return this.world.machines.filter(({ server }) => server?.running.has(task) === true).length;
    }

    /** Times in ms, from now on, at which the task runs twice: none, or the first and the last one. */
    async listDoubleRuns(): Promise<number[]> {
        const from = this.world.time.now;
        const twice: number[] = [];
        while (this.world.time.now < from + observation) {
            await this.pass(step);
            if (this.countRuns() > 1) {
                twice.push(Math.round(this.world.time.now - from));
            }
        }
        assert.ok(this.countRuns() === 1, "the task doesn't run");
        return twice.length === 0 ? [] : [twice[0]!, twice.at(-1)!];
    }

    /** Time in ms from now on until the task runs elsewhere, or on another boot. */
    async measureIdleness(server: simulatedServer.SimulatedServer): Promise<number> {
        const from = this.world.time.now;
        const before = server.running.get(task);
        const isRestarted = () =>
            this.world.machines.some(machine => {
                const run = machine.server?.running.get(task);
                return run !== undefined && run !== before;
            });
        while (!isRestarted() && this.world.time.now < from + observation) {
            await this.pass(step);
        }
        return this.world.time.now - from;
    }
}

async function play<Result>(course: (world: NextBootCourse) => Promise<Result>): Promise<Result> {
    const played = new NextBootCourse();
    try {
        return await course(played);
    }
    finally {
        played.world.close();
    }
}

interface CutCourse {
    readonly clockStart: ClockStart;
    /** Time in ms from the poll under way until the task is submitted. */
    readonly submittedAfter: number;
    /** From the start of the next boot until its entry is there. */
    readonly registration: number;
    readonly isStartAnswered: boolean;
    /** Time in ms from the start until the server is cut off. */
    readonly cutOffAfter: number;
    /** Whether polls of the next boot are lost, too, so that it isn't listed before the cut. */
    readonly losesPolls: boolean;
    readonly isCoordinatorLost?: boolean;
}

/** Registration delays in ms: one that makes the next boot known before the cut, and one that doesn't. */
const registrations = [300, 60_000];

/**
 * A server restarts while its idle poll is under way, and carries out a start that was meant for the boot before; then it
 * is cut off and runs on. Returns the times in ms after the cut at which the task ran twice, if it did.
 */
async function playCutOff(options: CutCourse): Promise<number[]> {
    return play(async course => {
        const { world } = course;
        await course.settle(options.submittedAfter);
        let target = "";
        let isCutOff = false;
        course.decide = ({ target: called, kind, epoch }) => {
            if (kind === "start" && target === "") {
                target = called;
                course.restart(called, options.clockStart, { down: 1, registration: options.registration });
                return { carriedOutAfter: 2, answered: options.isStartAnswered };
            }
            const isLost = called === target && target !== ""
                && (isCutOff || epoch === 2 || kind === "renewal" && options.losesPolls);
            return isLost ? lostFate : undefined;
        };
        world.submitOrdinary(jobId, 1, duration);
        await course.passUntil(() => target !== "");
        await course.pass(step);
        assert.is(course.findServer(target).running.has(task), options.clockStart !== clockStarts.pastLease);
        await course.pass(options.cutOffAfter - step);
        assert.not(options.losesPolls && world.log.some(({ event }) => event === "server-rebooted"));
        isCutOff = true;
        if (options.isCoordinatorLost === true) {
            world.kill();
            world.time.schedule(() => world.startCoordinator(), takeoverTime);
        }
        return course.listDoubleRuns();
    });
}

/** Plays the course with each time of registration, and with and without polls of the next boot; tells what ran twice. */
async function playCutOffs(options: Omit<CutCourse, "registration" | "losesPolls">): Promise<number[][]> {
    const results: number[][] = [];
    for (const registration of registrations) {
        results.push(await playCutOff({ ...options, registration, losesPolls: true }));
        results.push(await playCutOff({ ...options, registration, losesPolls: false }));
    }
    return results.filter(twice => twice.length > 0);
}

const answered = { submittedAfter: 860, isStartAnswered: true, cutOffAfter: 1700 };
const unanswered = { submittedAfter: 1700, isStartAnswered: false, cutOffAfter: 500 };

suite(
    "a task runs twice, as its start got the longest lease from the server's next boot, which is cut off",
    async () => {
        assert.equal(await playCutOffs({ ...answered, clockStart: clockStarts.lower }), []);
    },
);

suite("a task runs twice, as the clock of the server's next boot is only a little behind", async () => {
    assert.equal(await playCutOffs({ ...answered, clockStart: clockStarts.betweenLastAndExpected }), []);
});

suite("a task runs twice, as the clock of the server's next boot is ahead", async () => {
    assert.equal(await playCutOffs({ ...answered, clockStart: clockStarts.aheadOfExpected }), []);
    assert.equal(await playCutOffs({ ...answered, clockStart: clockStarts.pastLease }), []);
});

suite("a task runs twice, as the answer of the server's next boot to its start was lost", async () => {
    assert.equal(await playCutOffs({ ...unanswered, clockStart: clockStarts.lower }), []);
});

suite("a task runs twice, as the answer of a next boot whose clock is only a little behind was lost", async () => {
    assert.equal(await playCutOffs({ ...unanswered, clockStart: clockStarts.betweenLastAndExpected }), []);
});

suite("a task runs twice, as a successor doesn't know of the next boot's lease", async () => {
    for (const clockStart of [clockStarts.lower, clockStarts.betweenLastAndExpected]) {
        const isCoordinatorLost = true;
        assert.equal(await playCutOffs({ ...answered, clockStart, isCoordinatorLost }), []);
        assert.equal(await playCutOffs({ ...unanswered, clockStart, isCoordinatorLost }), []);
    }
});

/** A list that the next boot made before it carried out a start arrives after the answer to the start. */
async function playOvertakenList(clockStart: ClockStart): Promise<number[]> {
    return play(async course => {
        const { world } = course;
        await course.settle(50);
        const { id } = world.machines[0]!.server!.registration;
        // The others have no room before the list is on its way.
        const others = world.machines.slice(1).map(({ server }) => server!);
        let polled = false;
        course.decide = ({ target, kind }) => {
            if (target === id && kind === "renewal" && !polled) {
                polled = true;
                world.time.schedule(
                    () => course.restart(id, clockStart, { down: 1, registration: 60_000 }),
                    1,
                );
                return { carriedOutAfter: 20, answered: true, answeredAfter: 400 };
            }
            return undefined;
        };
        await course.passUntil(() => polled);
        await course.pass(idlePollWait - step);
        others.forEach(server => {
            server.draining = true;
            world.register(server);
        });
        await course.pass(2 * step);
        world.submitOrdinary(jobId, 1, duration);
        await course.pass(200);
        assert.ok(course.findServer(id).running.has(task));
        others.forEach(server => {
            server.draining = false;
            world.register(server);
        });
        return course.listDoubleRuns();
    });
}

suite("a run is lost by a list that its server's next boot made before it carried out the start", async () => {
    assert.equal(await playOvertakenList(clockStarts.lower), []);
});

suite("a run is lost by an overtaken list of a next boot whose clock passes for that of the boot before", async () => {
    assert.equal(await playOvertakenList(clockStarts.aheadByLatency), []);
});

suite("a run is lost by an overtaken list of a next boot whose clock is ahead", async () => {
    assert.equal(await playOvertakenList(clockStarts.aheadOfExpected), []);
});

/**
 * A list of machines that was made while a server was down arrives after the repeat of a start was carried out by its next
 * boot.
 */
async function playOvertakenMachines(isRepeatAnswered: boolean): Promise<number[]> {
    return play(async course => {
        const { world } = course;
        await course.settle(1500);
        let target = "";
        let restartAt = Number.POSITIVE_INFINITY;
        let starts = 0;
        course.decide = ({ target: called, kind }) => {
            const { now } = world.time;
            if (kind === "start" && (target === "" || target === called)) {
                target = called;
                starts += 1;
                if (starts === 1) {
                    course.restart(called, clockStarts.lower, { down: 600, registration: 60_000 });
                    restartAt = now + 600;
                    return { carriedOutAfter: 650, answered: false };
                }
                return { carriedOutAfter: 100, answered: isRepeatAnswered };
            }
            if (kind === "list" && now < restartAt && now >= restartAt - 600) {
                return { carriedOutAfter: 2, answered: true, answeredAfter: Math.min(890, restartAt + 450 - now) };
            }
            return called === target && kind === "renewal" && now < restartAt + 3000 ? lostFate : undefined;
        };
        world.submit(jobId, 1, 1, 8000);
        await course.passUntil(() => world.time.now >= restartAt + 100);
        assert.ok(course.findServer(target).running.has(task));
        return course.listDoubleRuns();
    });
}

suite("a repeated start counts as lost by a list of machines that was made before the server's restart", async () => {
    assert.equal(await playOvertakenMachines(true), []);
});

suite("a repeated start without an answer counts as lost by such a list of machines", async () => {
    assert.equal(await playOvertakenMachines(false), []);
});

suite("a start under way counts as lost by a list of machines that was made before the server's restart", async () => {
    const twice = await play(async course => {
        const { world } = course;
        await course.settle(idlePollWait - 50);
        let target = "";
        // The idle poll under way fails right after the start, which the next boot carries out.
        const down = 1300;
        world.machines.forEach(({ server }) =>
            course.restart(server!.registration.id, clockStarts.lower, { down, registration: 300 })
        );
        course.decide = ({ target: called, kind }) => {
            if (kind === "start" && target === "") {
                target = called;
                return { carriedOutAfter: 650, answered: false };
            }
            return kind === "renewal" && called === target ? lostFate : undefined;
        };
        await course.pass(callTimeout);
        world.submitOrdinary(jobId, 1, duration);
        await course.pass(down - callTimeout + 100);
        assert.ok(course.findServer(target).running.has(task));
        assert.ok(world.log.some(({ event, fields }) => event === "server-unreachable" && fields["server"] === target));
        return course.listDoubleRuns();
    });
    assert.equal(twice, []);
});

suite("a start that was stopped on one boot of its server is carried out seconds later by the next one", async () => {
    const twice = await play(async course => {
        const { world } = course;
        await course.settle(50);
        let target = "";
        course.decide = ({ target: called, kind }) => {
            if (kind !== "start" || ![called, ""].includes(target)) {
                return undefined;
            }
            if (target !== "") {
                return { ...ordinaryFate, refusedAsUnhealthy: true }; // The task starts elsewhere.
            }
            target = called;
            return { carriedOutAfter: 4500, answered: false };
        };
        world.submitOrdinary(jobId, 1, duration);
        await course.pass(4000);
        assert.is(course.countRuns(), 1, "the task runs elsewhere");
        course.restart(target, clockStarts.lower, { down: 1, registration: 300 });
        return course.listDoubleRuns();
    });
    assert.equal(twice, []);
});

suite("a task is blamed for a crash before its start was sent", async () => {
    await play(async course => {
        const { world } = course;
        await course.settle(860);
        let target = "";
        course.decide = ({ target: called, kind }) => {
            if (kind !== "start" || target !== "") {
                return undefined;
            }
            target = called;
            return lostFate;
        };
        world.machines.forEach(({ server }) =>
            course.restart(server!.registration.id, clockStarts.lower, { down: 1, registration: 300 })
        );
        await course.pass(100);
        world.submitOrdinary(jobId, 1, duration);
        await course.pass(1000);
        assert.ok(world.log.some(({ event, fields }) => event === "server-rebooted" && fields["server"] === target));
        const suspects = world.log.filter(({ event }) => event === "server-crashed").map(({ fields }) =>
            fields["suspects"]
        );
        assert.equal(suspects.flat(), []);
    });
});

suite("the task of a server that is cut off without a restart idles for longer than an ordinary lease", async () => {
    for (const cutOffAfter of [0, 300, 600, 900]) {
        const idleness = await play(async course => {
            const { world } = course;
            await course.settle(50);
            world.submitOrdinary(jobId, 1, duration);
            await course.pass(4000 + cutOffAfter);
            const server = world.findServer(task)!;
            const { id } = server.registration;
            course.decide = ({ target }) => target === id ? lostFate : undefined;
            return course.measureIdleness(server);
        });
        // The latest poll renewed the lease at the cut; two later ones fail until the expiry is noticed.
        const bound = leaseExpiry + 2 * (callTimeout + retryDelay) + startDelay;
        assert.ok(idleness < bound, `${idleness} of ${bound}`);
    }
});

suite("the task of a server that restarts silently and can be reached idles until leases have expired", async () => {
    for (const down of [0, 600]) {
        for (const pollWait of [idlePollWait, busyPollWait]) {
            const idleness = await play(async course => {
                const { world } = course;
                await course.settle(50);
                world.submitOrdinary(jobId, 1, duration);
                // The poll under way is the idle one, or a later one.
                await course.pass(pollWait === idlePollWait ? 100 : 4000);
                const server = world.findServer(task)!;
                course.restart(server.registration.id, clockStarts.lower, { down, registration: 300 });
                return course.measureIdleness(server);
            });
            // The poll under way fails, and the next one reaches the new boot.
            const bound = pollWait + callTimeout + retryDelay + startDelay;
            assert.ok(idleness < bound, `${idleness} of ${bound}`);
        }
    }
});

suite.run();
