/** Plays bursts of quick jobs by the coordinator's decisions, without a network and on a clock of the test. */
import * as eventLog from "@catkinwharf/event-log";
import type * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import type * as platform from "@catkinwharf/platform";
import * as platformTesting from "@catkinwharf/platform/testing";
import * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import * as capacityOutlook from "../capacity-outlook.js";
import * as jobRegistry from "../job-registry.js";
import * as placer from "../placer.js";
import * as quotaMeter from "../quota-meter.js";
import * as rateHold from "../rate-hold.js";
import * as runManager from "../run-manager.js";
import * as serverFence from "../server-fence.js";
import * as session from "../server-session.js";
import * as ticketCache from "../ticket-cache.js";
import * as testing from "./context.js";

/** Time in ms between two placement passes. */
const tick = 10;
const serverCpu = 64_000;
/** Time in ms from the placement of a task until its start is sent: the ledger and the coordinator are busy. */
const intentDelay = 220;
/** Time in ms from sending a start until the server begins it, and from the end of a task until it is processed. */
const callDelay = 100;
/** Time in ms from the submission of a job until the coordinator knows it. */
const arrivalDelay = 160;
/** Time in ms from the end of a job until its caller is told: its status is stored, then read by the other processes. */
const showDelay = 300;
/** Time in ms between two publications of waits, and until the processes that refuse have read one. */
const heartbeatInterval = 300;
const readDelay = 160;
const slackFactor = 1.6;
const latencyAllowance = 600;

export interface SimulatedJob {
    readonly entry: jobState.JobEntry;
    /** Duration in ms of each task, by step. */
    readonly durations: readonly (readonly number[])[];
    endedAt: number | undefined;
    accepted: boolean;
}

/** Deterministic random numbers from 0 to 1. */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

function createSimulatedJob(
    number: number,
    now: number,
    random: () => number,
    organisation: string | undefined,
): SimulatedJob {
    const stepCount = random() < 0.5 ? 1 : random() < 0.8 ? 2 : 3;
    const mean = 320 + 640 * random();
    const durations = Array.from({ length: stepCount }, () => {
        const taskCount = 2 + Math.floor(12 * random());
        return Array.from({ length: taskCount }, () => mean * (0.7 + 0.6 * random()));
    });
    const estimate = mean * (0.8 + 0.4 * random());
    const cpu = 2000 + Math.floor(8000 * random());
    const steps = durations.map((tasks, i) =>
        jobTesting.createStep({
            taskCount: tasks.length,
            estimate,
            demand: { cpu, memory: 0, accelerators: 0 },
            dependsOn: i === 0 ? [] : [i - 1],
        })
    );
    const id = number.toString(16).padStart(16, "0");
    const job = jobTesting.createJob({ id, organisation, steps, submittedAt: now });
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
        accepted: true,
    };
}

function createServer(id: string): session.ServerSession {
    const entry: platform.operatorRecords.ServerRegistration = {
        id,
        service: "quotes",
        address: `${id}:1`,
        availabilityZone: "a",
        draining: false,
        remaining: 0,
        cpu: serverCpu,
        memory: 1,
        accelerators: 0,
        labels: [],
        rack: "",
        bootedAt: undefined,
    };
    const server = new session.ServerSession(
        entry,
        {
            id,
            rack: "",
            labels: [],
            freeCpu: serverCpu,
            freeMemory: 1,
            freeAccelerators: 0,
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

/** Route of all jobs of a play. */
export const route: platform.operatorRecords.Route = {
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
};

/** Who submits jobs in a play. */
export interface Submitter {
    readonly organisation: string | undefined;
    /** Chooses the jobs' sizes and durations, whatever others submit. */
    readonly seed: number;
    /** Number of jobs submitted until `now`. */
    readonly countDue: (now: number) => number;
}

export interface PlayOptions {
    readonly submitters: readonly Submitter[];
    readonly organisations: readonly platform.operatorRecords.Organisation[];
    readonly countServers: (now: number) => number;
    /** Ms after which the play ends. */
    readonly end: number;
    /** Whether a submission is accepted, by the waits that the coordinator published last; all are by default. */
    readonly accepts?: (job: jobState.Job, waits: jobState.ExpectedWaits | undefined) => boolean;
}

/** Plays the submissions and returns their jobs. */
export async function play(options: PlayOptions): Promise<SimulatedJob[]> {
    let now = 0;
    let waits: jobState.ExpectedWaits | undefined;
    const submitters = options.submitters.map(submitter => ({
        ...submitter,
        random: createRandom(submitter.seed),
        count: 0,
    }));
    const send = () => Promise.resolve(neverthrow.ok(platformTesting.createDoneResponse()));
    const store = new storeClient.StoreClient(
        { send },
        new storeClient.StoreRoutes("store:1"),
        eventLog.silentEventLog,
        () => now,
    );
    const shared = testing.createContext({ send } as unknown as httpCalls.HttpClient, store, () => now);
    const registry = new jobRegistry.JobRegistry();
    const configuration: platform.operatorRecords.Configuration = {
        version: 1,
        routes: [route],
        services: [],
        organisations: options.organisations,
        maxBodyBytes: 1,
    };
    registry.applyConfiguration(configuration);
    const manager = new runManager.RunManager({
        shared,
        registry,
        onEnd: () => undefined,
        onStartAnswered: () => undefined,
        canSpare: () => true,
        describeStep: () => ({}),
    });
    const planner = new placer.Placer(shared, manager, new ticketCache.TicketCache(shared));
    const servers = Array.from(
        { length: Math.max(options.countServers(0), options.countServers(options.end)) },
        (_, i) => createServer(`s${i}`),
    );
    const jobs = new Map<string, SimulatedJob>();
    const events: { readonly at: number; readonly handle: () => void; }[] = [];
    const end = (server: session.ServerSession, run: session.ActiveRun) => {
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
        const job = jobs.get(run.entry.id)!;
        if (run.entry.progress?.status === jobState.JobStatus.completed) {
            job.endedAt ??= now + showDelay;
        }
    };
    const begin = (server: session.ServerSession, run: session.ActiveRun) => {
        void manager.start(server, run);
        const duration = jobs.get(run.entry.id)!.durations[run.position.step]![run.position.index]!;
        events.push({ at: now + callDelay + duration + callDelay, handle: () => end(server, run) });
    };
    for (; now < options.end; now += tick) {
        for (const submitter of submitters) {
            const { organisation, random, countDue } = submitter;
            for (; submitter.count < countDue(now); submitter.count++) {
                const job = createSimulatedJob(jobs.size + 1, now, random, organisation);
                jobs.set(job.entry.id, job);
                job.accepted = options.accepts?.(job.entry.job!, waits) ?? true;
                if (job.accepted) {
                    events.push({ at: now + arrivalDelay, handle: () => registry.track(job.entry, now) });
                }
            }
        }
        for (const event of events.filter(other => other.at <= now)) {
            events.splice(events.indexOf(event), 1);
            event.handle();
        }
        const present = servers.slice(0, options.countServers(now));
        if (options.accepts !== undefined && now % heartbeatInterval === 0) {
            const published = capacityOutlook.estimateWaits({
                configuration,
                candidates: registry.listUnplaced(),
                servers: present,
                quota: quotaMeter.measureQuotaUsage(configuration, servers),
                hasSpareMachines: false,
                taskDelay: registry.taskDelay,
                isBeyondRate: job => registry.isBeyondRate(job),
            });
            events.push({ at: now + readDelay, handle: () => waits = published });
        }
        const quota = quotaMeter.measureQuotaUsage(configuration, servers);
        const shares = quotaMeter.measureShares(configuration, present, quota);
        const candidates = registry.listCandidates(now, shares).get("quotes") ?? [];
        const place = (part: readonly jobRegistry.Candidate[]) => planner.place(part, present, quota);
        const planned = rateHold.placeByRate(candidates, present, quota, place);
        for (const { server, run } of planned) {
            events.push({ at: now + intentDelay, handle: () => begin(server, run) });
        }
        await timers.setImmediate(); // Lets the responses to the starts be handled.
    }
    return [...jobs.values()];
}

/** Share of the jobs that ended within their objective, which follows from their real durations. */
export function measureShareOnTime(jobs: readonly SimulatedJob[]): number {
    const onTime = jobs.filter(({ entry, durations, endedAt }) => {
        const criticalPath = durations.reduce((sum, tasks) => sum + Math.max(...tasks), 0);
        const allowed = slackFactor * criticalPath + latencyAllowance;
        return endedAt !== undefined && endedAt - entry.job!.submittedAt <= allowed;
    });
    return onTime.length / jobs.length;
}
