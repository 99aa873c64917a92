/**
 * Asks each process for each accepted job once all faults have ended, as callers do at the end of a day, and judges the
 * answers.
 */
import type * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";
import * as groups from "./groups.js";
import * as idleness from "./idleness.js";
import type * as load from "./load.js";
import * as lostJobs from "./lost-jobs.js";

/** Time in ms after the end of the load from which on an answer counts. */
const recoveryTime = 14_000;
/** Time in ms between two rounds of questions. */
const questionInterval = 1000;
const parallelQuestions = 8;
/** Time in ms for which jobs that nothing happens to are watched on, to tell those that a change of the coordinator held up. */
const watchTime = 5000;

/** A line for each job that isn't as it should be. */
export interface LostJobs {
    readonly lost: readonly string[];
    /** Jobs that were idle for too long when they were asked for, and then went on. */
    readonly late: readonly string[];
}

/**
 * Asks each process for each job: once all have ended as they should, or once the processes have had their time to recover. A
 * process whose answer isn't as it should be then is asked again until that time.
 */
export async function findLostJobs(options: idleness.InquiryOptions): Promise<LostJobs> {
    const { deployment: { processes }, callers } = options;
    const meter = new idleness.IdlenessMeter(options);
    const deadline = performance.now() + recoveryTime;
    const sampling = setInterval(() => meter.sample(), idleness.sampleInterval);
    const isOver = () => performance.now() >= deadline;
    const pause = () => timers.setTimeout(Math.min(questionInterval, Math.max(0, deadline - performance.now())));
    try {
        let unsettled = [...callers.accepted.values()];
        for (let i = 0; unsettled.length > 0 && !isOver(); i++) {
            const node = processes[i % processes.length]!;
            const found = await askAll(unsettled.map(job => ({ job, node })), options, meter);
            unsettled = found.flatMap(({ question, isSettled }) => isSettled ? [] : [question.job]);
            await pause();
        }
        const questions = [...callers.accepted.values()].flatMap(job => processes.map(node => ({ job, node })));
        let faulty = (await askAll(questions, options, meter)).filter(isFaulty);
        while (faulty.length > 0 && !isOver()) {
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
    { callers, deployment }: idleness.InquiryOptions,
    meter: idleness.IdlenessMeter,
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
                    history.filter(({ task }) => idleness.findJob(task) === job.id),
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
async function describeLost(findings: readonly Finding[], meter: idleness.IdlenessMeter): Promise<LostJobs> {
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
