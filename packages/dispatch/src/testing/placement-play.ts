/**
 * Plays bursts above the capacity of one service by the coordinator's own decisions, without a network and on a clock of its
 * own: large and small tasks, a few of which run several times as long as the others.
 */
import * as eventLog from "@catkinwharf/event-log";
import type * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as platformTesting from "@catkinwharf/platform/testing";
import * as scheduling from "@catkinwharf/scheduling";
import * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import * as jobRegistry from "../job-registry.js";
import * as placer from "../placer.js";
import * as runManager from "../run-manager.js";
import * as serverFence from "../server-fence.js";
import * as session from "../server-session.js";
import * as ticketCache from "../ticket-cache.js";
import * as context from "./context.js";

/** A kind of job. */
export interface JobClass {
    /** Thousandths of a core that a task demands on average, and at most. */
    readonly cpu: readonly [number, number];
    /** The same in megabytes of memory. */
    readonly memory: readonly [number, number];
}

export interface PlayOptions {
    readonly seed: number;
    readonly policy: scheduling.ReservationPolicy;
    readonly serverCount: number;
    /** Cores that the jobs of a burst need, as a multiple of the capacity. */
    readonly overload: number;
    readonly classes: readonly JobClass[];
}

/** Times in ms. */
const tick = 10;
const playEnd = 22_000;
/** Begin and end of each burst. */
const bursts = [[500, 5500], [9500, 14_500]] as const;
const quietShare = 0.05;
/** Time from the placement of a task until its start is sent, and from then until it begins, and from its end until it is known. */
const intentDelay = 60;
const callDelay = 30;
const arrivalDelay = 160;
/** Time from the end of a job until its caller is told. */
const showDelay = 200;
const slackFactor = 1.6;
const latencyAllowance = 600;
/** Share of the tasks that run `tailFactor` times as long as the others. */
const tailShare = 0.03;
const tailFactor = 7;
const serverCpu = 16_000;
const serverMemory = 64_000;
/** Core-seconds of a job on average, for the two classes of deployment B; sets the rate of submission. */
const coresPerJob = 28;
/** Thousandths of a core above which a task counts as large in the report. */
const largeCpu = serverCpu / 4;

interface PlayedJob {
    readonly entry: jobState.JobEntry;
    readonly durations: readonly (readonly number[])[];
    endedAt: number | undefined;
}

export interface PlayReport {
    /** Waits in ms of the tasks that were placed, ascending. */
    readonly waits: { readonly large: readonly number[]; readonly small: readonly number[]; };
    /** Tasks that weren't placed by the end. */
    readonly unplaced: { readonly large: number; readonly small: number; };
    /** Shares of the jobs that ended within their objective: with a large task, and all others. */
    readonly onTime: { readonly large: number; readonly small: number; readonly all: number; };
    /** Share of the jobs that ended within three times what the objective allows. */
    readonly ofUse: number;
    /** Mean share of the cores that is occupied during bursts. */
    readonly utilisation: number;
    readonly backfilled: number;
    /** Real time in ms that the passes took, summed. */
    readonly passTime: number;
}

/** Deterministic random numbers from 0 to 1. */
export function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

function drawDemand([mean, max]: readonly [number, number], random: () => number): number {
    return Math.round(Math.min(max, mean * (0.4 - 0.6 * Math.log(1 - random()))));
}

function drawJob(number: number, now: number, classes: readonly JobClass[], random: () => number): PlayedJob {
    const { cpu, memory } = classes[Math.floor(random() * classes.length)]!;
    const stepCount = random() < 0.5 ? 1 : random() < 0.8 ? 2 : 3;
    const mean = 320 + 640 * random();
    const durations = Array.from({ length: stepCount }, () => {
        const taskCount = 1 + Math.floor(Math.min(31, -7.5 * Math.log(1 - random())));
        return Array.from(
            { length: taskCount },
            () => mean * (0.85 + 0.3 * random()) * (random() < tailShare ? tailFactor : 1),
        );
    });
    const estimate = mean * (0.6 + 0.8 * random());
    const steps = durations.map((tasks, i) =>
        jobTesting.createStep({
            taskCount: tasks.length,
            estimate,
            demand: { cpu: drawDemand(cpu, random), memory: drawDemand(memory, random), accelerators: 0 },
            dependsOn: i === 0 ? [] : [i - 1],
        })
    );
    const job = jobTesting.createJob({ id: number.toString(16).padStart(16, "0"), steps, submittedAt: now });
    return {
        entry: {
            id: job.id,
            job,
            cancelledAt: undefined,
            progress: undefined,
            storedStatus: undefined,
            storedParts: new Set(),
        },
        durations,
        endedAt: undefined,
    };
}

export function createServer(
    id: string,
    capacity: jobState.Demand = { cpu: serverCpu, memory: serverMemory, accelerators: 0 },
): session.ServerSession {
    const server = new session.ServerSession(
        {
            id,
            service: "quotes",
            address: `${id}:1`,
            availabilityZone: "a",
            draining: false,
            remaining: 0,
            ...capacity,
            labels: [],
            rack: "",
            bootedAt: undefined,
        },
        {
            id,
            rack: "",
            labels: [],
            freeCpu: capacity.cpu,
            freeMemory: capacity.memory,
            freeAccelerators: capacity.accelerators,
            endingCpu: 0,
            endingMemory: 0,
            endingAccelerators: 0,
            acceptsTasks: true,
            mayBeOrderedAway: false,
            penalty: 0,
            runCount: 0,
            longRunningRunCount: 0,
            startingRunCount: 0,
            runCountByStep: new Map(),
        },
        0,
        { lease: 4500, maxLease: 6000 },
        new serverFence.TermTokens(0),
    );
    server.reachable = true;
    server.clock.sample = { server: 0, received: 0 };
    return server;
}

/** A coordinator's placer and job registry over servers that tests control, with one queue and no store. */
export function createPlacing(now: () => number, policy = scheduling.defaultReservationPolicy): {
    readonly registry: jobRegistry.JobRegistry;
    readonly manager: runManager.RunManager;
    readonly planner: placer.Placer;
} {
    const send = () => Promise.resolve(neverthrow.ok(platformTesting.createDoneResponse()));
    const store = new storeClient.StoreClient(
        { send },
        new storeClient.StoreRoutes("store:1"),
        eventLog.silentEventLog,
        now,
    );
    const shared = context.createContext({ send } as unknown as httpCalls.HttpClient, store, now);
    const registry = new jobRegistry.JobRegistry();
    registry.applyConfiguration({
        version: 1,
        routes: [{
            name: "quotes",
            host: "",
            pathPrefix: "/",
            service: "quotes",
            priority: 0,
            maxAttempts: 3,
            slackFactor,
            latencyAllowance,
            timeout: 3000,
            advice: undefined,
            isPublic: false,
        }],
        services: [],
        organisations: [],
        maxBodyBytes: 1,
    });
    const manager = new runManager.RunManager({
        shared,
        registry,
        onEnd: () => undefined,
        onStartAnswered: () => undefined,
        canSpare: () => true,
        describeStep: () => ({}),
    });
    const tickets = new ticketCache.TicketCache(shared);
    return {
        registry,
        manager,
        planner: new placer.Placer(shared, manager, tickets, registry.runTimes, undefined, policy),
    };
}

/** Reports the end of a run to the coordinator. */
export function endRun(
    manager: runManager.RunManager,
    server: session.ServerSession,
    run: session.ActiveRun,
    now: number,
): void {
    server.clock.sample = { server: now, received: now };
    manager.applyLists(server, {
        kind: "lists",
        bootedAt: undefined,
        clock: now,
        running: [],
        ended: [{
            number: server.ends.lastProcessed + 1,
            task: { jobId: run.entry.id, ...run.position },
            run: run.runNumber,
            how: jobState.RunEnd.done,
            checkpoint: "",
        }],
        complete: false,
    }, { sentAt: now, token: 0 });
}

export async function play({ seed, policy, serverCount, overload, classes }: PlayOptions): Promise<PlayReport> {
    let now = 0;
    const random = createRandom(seed);
    const { registry, manager, planner } = createPlacing(() => now, policy);
    const servers = Array.from({ length: serverCount }, (_, i) => createServer(`s${i}`));
    const jobs = new Map<string, PlayedJob>();
    const readyAt = new Map<string, number>();
    const waits: Record<"large" | "small", number[]> = { large: [], small: [] };
    let events: { readonly at: number; readonly handle: () => void; }[] = [];
    let due = 0;
    let passTime = 0;
    let used = 0;
    let burstTicks = 0;
    const end = (server: session.ServerSession, run: session.ActiveRun) => {
        endRun(manager, server, run, now);
        const job = jobs.get(run.entry.id)!;
        if (run.entry.progress?.status === jobState.JobStatus.completed) {
            job.endedAt ??= now + showDelay;
        }
    };
    const begin = (server: session.ServerSession, run: session.ActiveRun) => {
        void manager.start(server, run);
        const duration = jobs.get(run.entry.id)!.durations[run.position.step]![run.position.index]!;
        events.push({ at: now + 2 * callDelay + duration, handle: () => end(server, run) });
    };
    const burstRate = overload * serverCount * serverCpu / 1000 / coresPerJob;
    const lastBurstEnd = bursts.at(-1)![1];
    for (; now < playEnd; now += tick) {
        const isBurst = bursts.some(([from, to]) => now >= from && now < to);
        due += now > lastBurstEnd ? 0 : (isBurst ? 1 : quietShare) * burstRate * tick / 1000;
        while (jobs.size < due) {
            const job = drawJob(jobs.size + 1, now, classes, random);
            jobs.set(job.entry.id, job);
            events.push({ at: now + arrivalDelay, handle: () => registry.track(job.entry, now) });
        }
        const expired = events.filter(event => event.at <= now);
        events = events.filter(event => event.at > now);
        expired.forEach(event => event.handle());
        const startedAt = performance.now();
        const candidates = registry.listCandidates(now).get("quotes") ?? [];
        for (const { active, ready } of candidates) {
            const stepKey = runManager.formatStepKey(active.job.id, ready);
            readyAt.set(stepKey, readyAt.get(stepKey) ?? now);
        }
        const planned = planner.place(candidates, servers, new scheduling.QuotaUsage(new Map()));
        passTime += performance.now() - startedAt;
        for (const { server, run } of planned) {
            waits[run.step.demand.cpu > largeCpu ? "large" : "small"].push(now - readyAt.get(run.stepKey)!);
            events.push({ at: now + intentDelay, handle: () => begin(server, run) });
        }
        if (isBurst) {
            burstTicks += 1;
            used += 1 - servers.reduce((sum, server) => sum + server.load.freeCpu, 0) / (serverCount * serverCpu);
        }
        await timers.setImmediate(); // Lets the responses to the starts be handled.
    }
    const placed = { large: waits.large.length, small: waits.small.length };
    const all = { large: 0, small: 0 };
    for (const { entry } of jobs.values()) {
        for (const { demand, taskCount } of entry.job!.steps) {
            all[demand.cpu > largeCpu ? "large" : "small"] += taskCount;
        }
    }
    const isLarge = ({ entry }: PlayedJob) => entry.job!.steps.some(step => step.demand.cpu > largeCpu);
    const played = [...jobs.values()];
    return {
        waits: { large: waits.large.sort((a, b) => a - b), small: waits.small.sort((a, b) => a - b) },
        unplaced: { large: all.large - placed.large, small: all.small - placed.small },
        onTime: {
            large: measureShare(played.filter(isLarge), 1),
            small: measureShare(played.filter(job => !isLarge(job)), 1),
            all: measureShare(played, 1),
        },
        ofUse: measureShare(played, 3),
        utilisation: used / burstTicks,
        backfilled: planner.backfilledTasks,
        passTime,
    };
}

/** Share of the jobs that ended within `multiple` times what their objective allows, which follows from their real durations. */
function measureShare(jobs: readonly PlayedJob[], multiple: number): number {
    const inTime = jobs.filter(({ entry, durations, endedAt }) => {
        const criticalPath = durations.reduce((sum, tasks) => sum + Math.max(...tasks), 0);
        const allowed = slackFactor * criticalPath + latencyAllowance;
        return endedAt !== undefined && endedAt - entry.job!.submittedAt <= multiple * allowed;
    });
    return inTime.length / Math.max(1, jobs.length);
}
