/**
 * Draws jobs that strain the system, in place of ordinary ones: with very many tasks, times or steps, and some whose caller gives
 * up after the first call. Their draws change none of the others.
 */
import type * as bench from "@catkinwharf/bench";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import type * as load from "./load.js";

/** Shares of the jobs; wide ones are cancelled after a while, as they would go on for hours. */
const wideShare = 0.01;
const repeatedShare = 0.01;
const longShare = 0.02;
const withdrawnShare = 0.1;
const mostTasks = 1_000_000;
const mostTimes = 1_000_000;
/** Steps of a long job, which depend on each other. */
const longSteps = 80;
/** In ms: how long the tasks take, and from the submission of a wide job until it is cancelled. */
const duration = 100;
const minWideTime = 500;
const maxWideTime = 4000;
const cpu = 500;

type Drawn = Pick<load.JobPlan, "body" | "steps"> & Partial<load.JobPlan>;

/** By the shares that they have of the jobs. */
const draws: readonly (readonly [share: number, draw: (random: bench.RandomSource) => Drawn])[] = [
    [wideShare, random => createWide(random, [{ tasks: drawWide(random), cpu }], {})],
    [repeatedShare, random => {
        const steps = [{ tasks: 3, cpu }, { tasks: drawWide(random), cpu, dependsOn: [0] }];
        const repetition = platformStandIns.createRepetition(mostTimes, Date.now(), 1 + random.nextBelow(200));
        return createWide(random, steps, repetition);
    }],
    [longShare, () => {
        const steps = Array.from(
            { length: longSteps },
            (_, i) => ({ tasks: 1, cpu, dependsOn: i === 0 ? [] : [i - 1] }),
        );
        return { body: platformStandIns.createJobBody({ duration: duration / 10 }, ...steps), steps };
    }],
];

function drawWide(random: bench.RandomSource): number {
    return 1000 + random.nextBelow(mostTasks - 1000 - 3);
}

function createWide(
    random: bench.RandomSource,
    steps: readonly (platformStandIns.StepDescription & Drawn["steps"][number])[],
    repetition: object,
): Drawn {
    const cancelAfter = minWideTime + random.nextBelow(maxWideTime - minWideTime);
    return { body: { ...platformStandIns.createJobBody({ duration }, ...steps), ...repetition }, steps, cancelAfter };
}

/** The job as it was planned, or one that strains the system. */
export function drawStraining(plan: load.JobPlan, random: bench.RandomSource): load.JobPlan {
    let drawn = random.next();
    const isWithdrawn = random.next() < withdrawnShare;
    if (plan.longRunning || plan.crashesServers) {
        return { ...plan, isWithdrawn };
    }
    for (const [share, draw] of draws) {
        if (drawn < share) {
            return { ...plan, cancelAfter: undefined, ...draw(random) };
        }
        drawn -= share;
    }
    return { ...plan, isWithdrawn };
}
