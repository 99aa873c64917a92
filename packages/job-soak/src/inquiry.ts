/**
 * Asks each process for each accepted job once all faults have ended, as callers do at the end of a day, and judges the
 * answers.
 */
import type * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";
import * as groups from "./groups.js";
import type * as load from "./load.js";
import * as lostJobs from "./lost-jobs.js";
import type * as organisations from "./organisations.js";

/** Time in ms after the end of the load from which on an answer counts. */
const recoveryTime = 14_000;
/** Time in ms between two looks at what the servers run. */
const sampleInterval = 250;
/** Time in ms between two rounds of questions. */
const questionInterval = 1000;
const parallelQuestions = 8;
/** Time in ms for which jobs that nothing happens to are watched on, to tell those that a change of the coordinator held up. */
const watchTime = 5000;

export interface InquiryOptions {
    readonly deployment: platformStandIns.StandInDeployment;
    readonly callers: Pick<load.Load, "accepted" | "ask">;
    readonly organisations: organisations.Organisations | undefined;
    /** Services by queue. */
    readonly services: ReadonlyMap<string, string>;
}

/** A line for each job that isn't as it should be. */
export interface LostJobs {
    readonly lost: readonly string[];
    /** Jobs that were idle for too long when they were asked for, and then went on. */
    readonly late: readonly string[];
}

/** When each job, and each task of a lasting one, was last at work or had no room, in ms by `performance.now()`. */
class IdlenessMeter {
    readonly #lastBusy = new Map<string, number>();
    readonly #startedAt = performance.now();

    constructor(private readonly options: InquiryOptions) {}

    sample(): void {
        const now = performance.now();
        const { deployment, organisations: customers, callers, services } = this.options;
        const machines = [...deployment.machines.machines.values()];
        const tasks = machines.flatMap(({ server }) => server?.runningTasks ?? []);
        const atWork = new Set(tasks);
        const jobsAtWork = new Set(tasks.map(findJob));
        const findCpu = (task: string) => {
            const steps = callers.accepted.get(findJob(task))?.steps;
            return steps?.[Number(task.split(".")[2])]?.cpu ?? 0;
        };
        const isCrowded = (service: string) => {
            const pool = machines.filter(machine => machine.pool === service);
            const capacity = pool.reduce(
                (sum, { server, capacity }) => sum + (server === undefined ? 0 : capacity.Cpu),
                0,
            );
            const used = pool.flatMap(({ server }) => server?.runningTasks ?? []).reduce(
                (sum, task) => sum + findCpu(task),
                0,
            );
            return used * 2 >= capacity;
        };
        const crowded = new Set([...new Set(services.values())].filter(isCrowded));
        for (const job of callers.accepted.values()) {
            const isHeld = crowded.has(services.get(job.queue)!)
                || customers?.isHalfUsed(job.organisation, tasks, findCpu) === true;
            if (isHeld || jobsAtWork.has(job.id)) {
                this.#lastBusy.set(job.id, now);
            }
            for (const task of job.longRunning ? lostJobs.listTasks(job) : []) {
                if (isHeld || atWork.has(task)) {
                    this.#lastBusy.set(task, now);
                }
            }
        }
    }

    /** Whether the job is one that nobody has cancelled, and that runs until then, with all its tasks at work. */
    isAtWork(job: lostJobs.SubmittedJob): boolean {
        const since = performance.now() - 2 * sampleInterval;
        return job.longRunning && job.cancellation === "none"
            && lostJobs.listTasks(job).every(task => (this.#lastBusy.get(task) ?? 0) >= since);
    }

    measure(job: lostJobs.SubmittedJob): lostJobs.Room {
        const now = performance.now();
        const measureOne = (key: string) => now - (this.#lastBusy.get(key) ?? this.#startedAt);
        return {
            idleTime: measureOne(job.id),
            longestAbsence: Math.max(...lostJobs.listTasks(job).map(measureOne)),
        };
    }
}

function findJob(task: string): string {
    return task.slice(0, task.indexOf("."));
}

/**
 * Asks each process for each job: once all have ended as they should, or once the processes have had their time to recover. A
 * process whose answer isn't as it should be then is asked again until that time.
 */
export async function findLostJobs(options: InquiryOptions): Promise<LostJobs> {
    const { deployment: { processes }, callers } = options;
    const meter = new IdlenessMeter(options);
    const deadline = performance.now() + recoveryTime;
    const sampling = setInterval(() => meter.sample(), sampleInterval);
    const isLate = () => performance.now() >= deadline;
    const pause = () => timers.setTimeout(Math.min(questionInterval, Math.max(0, deadline - performance.now())));
    try {
        let unsettled = [...callers.accepted.values()];
        for (let i = 0; unsettled.length > 0 && !isLate(); i++) {
            const node = processes[i % processes.length]!;
            const found = await askAll(unsettled.map(job => ({ job, node })), options, meter);
            unsettled = found.flatMap(({ question, isSettled }) => isSettled ? [] : [question.job]);
            await pause();
        }
        const questions = [...callers.accepted.values()].flatMap(job => processes.map(node => ({ job, node })));
        let faulty = (await askAll(questions, options, meter)).filter(isFaulty);
        while (faulty.length > 0 && !isLate()) {
            await pause();
            faulty = (await askAll(faulty.map(({ question }) => question), options, meter)).filter(isFaulty);
        }
        return await describeLost(faulty, meter);
    }
    finally {
        clearInterval(sampling);
    }
}

interface Question {
    readonly job: load.AcceptedJob;
    readonly node: platformStandIns.EntryProcess;
}

interface Finding {
    readonly question: Question;
    /** The job has ended as it should, or is a lasting one that is at work. */
    readonly isSettled: boolean;
    /** The job is open, and wrong only in that nothing happens to it. */
    readonly isIdle: boolean;
    /** What is wrong with the answer. */
    readonly fault: string | undefined;
}

async function askAll(
    questions: readonly Question[],
    { callers, deployment }: InquiryOptions,
    meter: IdlenessMeter,
): Promise<Finding[]> {
    const findings: Finding[] = [];
    const left = [...questions];
    const { history } = deployment.machines;
    const work = async () => {
        for (let question = left.pop(); question !== undefined; question = left.pop()) {
            const { job, node } = question;
            const { status, state } = await callers.ask(job, node);
            const fault = status !== 200 || state === undefined
                ? status === 0 ? "no answer" : `status ${status}`
                : lostJobs.judgeState(
                    state,
                    job,
                    history.filter(({ task }) => findJob(task) === job.id),
                    meter.measure(job),
                );
            const isOpen = state === "queued" || state === "running";
            findings.push({
                question,
                isSettled: fault === undefined && (!isOpen || meter.isAtWork(job)),
                isIdle: isOpen && job.cancellation !== "acknowledged" && !job.longRunning,
                fault,
            });
        }
    };
    await Promise.all(Array.from({ length: parallelQuestions }, work));
    return findings;
}

function isFaulty({ fault }: Finding): boolean {
    return fault !== undefined;
}

/** Watches the jobs on, and writes a line for each. */
async function describeLost(findings: readonly Finding[], meter: IdlenessMeter): Promise<LostJobs> {
    if (findings.length === 0) {
        return { lost: [], late: [] };
    }
    await timers.setTimeout(watchTime);
    const lines = [...groups.groupBy(findings, ({ question }) => question.job)].map(([job, own]) => ({
        line: `${job.id}: ${own.map(({ question, fault }) => `${question.node.name}: ${fault}`).join("; ")}`,
        isLate: own.every(({ isIdle }) => isIdle) && meter.measure(job).idleTime < watchTime,
    }));
    return {
        lost: lines.flatMap(({ line, isLate }) => isLate ? [] : [line]),
        late: lines.flatMap(({ line, isLate }) => isLate ? [line] : []),
    };
}
