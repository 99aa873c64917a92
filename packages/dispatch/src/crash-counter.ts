/**
 * Counts the crashes of servers for the tasks that may have caused them, and fails the jobs of those that did.
 *
 * Whether other servers were lost together with one shows only a while after. Until then a task that started alone there isn't
 * started again. A crash that isn't judged when the coordinator is lost is no lone one to its successor.
 */
import * as jobState from "@catkinwharf/job-state";
import * as scheduling from "@catkinwharf/scheduling";
import type * as context from "./context.js";
import * as crashRecords from "./crash-records.js";
import type * as fleet from "./fleet.js";
import type * as jobRegistry from "./job-registry.js";
import * as session from "./server-session.js";

export interface CrashCounterOptions {
    readonly shared: Pick<context.CoordinatorContext, "clock" | "epoch" | "log" | "writer" | "schedulePass">;
    readonly registry: Pick<jobRegistry.JobRegistry, "active">;
    readonly fleet: () => Pick<fleet.Fleet, "outages" | "sessions" | "confirmNeighbours">;
    /** Fails the job of a task that crashes servers. */
    readonly fail: (active: jobRegistry.ActiveJob) => void;
}

/** A task that may have caused a crash. */
interface Suspect {
    readonly isCertain: boolean;
    readonly active: jobRegistry.ActiveJob;
    readonly occurrence: jobState.OccurrenceProgress;
    readonly history: jobState.TaskHistory;
    readonly run: session.ActiveRun;
    readonly started: session.StartedRun;
}

/** A crash of which it isn't known yet whether it was joint. */
interface OpenCrash {
    readonly outage: scheduling.Outage;
    readonly suspects: readonly Suspect[];
    /** Whether nothing but one task, or gang, that had started alone may have caused it, if it wasn't joint. */
    readonly isLone: boolean;
    /** On the monotonic clock. */
    readonly judgedAt: number;
}

/** Crashes that are counted for one task. */
interface CountedCrashes {
    readonly boots: Set<string>;
    /** Outages of servers that had certainly got its start. */
    readonly outages: readonly scheduling.Outage[];
}

/**
 * Time in ms after a crash is noticed until it is judged. By then a server that was lost together with it has left
 * a call without a response, and another one by which its loss is noticed.
 */
const judgementDelay = 1500;

export class CrashCounter {
    #open: OpenCrash[] = [];
    /** Crashes that are counted for a task, by its history. */
    readonly #counted = new WeakMap<jobState.TaskHistory, CountedCrashes>();

    constructor(private readonly options: CrashCounterOptions) {}

    /** Counts the crash of a server for the tasks that may have caused it. */
    count(crash: fleet.ServerCrash): void {
        const { shared, fleet } = this.options;
        const now = shared.clock.monotonic();
        const suspectRuns = crash.runs.filter(started => scheduling.isCrashSuspect(started));
        const isLone = isLoneCrash(suspectRuns);
        const suspects = suspectRuns.flatMap(started => this.#findSuspect(started) ?? []);
        const wasJoint = this.#isJoint(crash.outage, isLone ? suspects : []);
        shared.log.warn("server-crashed", {
            server: crash.server,
            runs: crash.runs.length,
            epoch: shared.epoch,
            suspects: suspectRuns.map(({ run }) => run.name),
            // Those of them whose start the server had certainly got.
            certain: suspectRuns.flatMap(({ run, isCertain }) => isCertain ? run.name : []),
            boots: [...new Set(suspectRuns.map(({ run }) => run.bootId))],
            lone: isLone,
            joint: wasJoint,
            // Ms since the server was last seen up, and since it had been lost.
            sinceSeen: Math.round(now - crash.outage.lastSeenAt),
            sinceLoss: Math.round(now - crash.outage.lostBy),
            starts: crashRecords.describeSuspects(suspectRuns, run => this.#findHistory(run), now),
        });
        const counted = suspects.filter(suspect => this.#recordCrash(suspect, crash.outage));
        for (const suspect of counted) {
            const { active, history, isCertain } = suspect;
            crashRecords.recordCrash(history, {
                ...crashRecords.describeStart(suspect.started, now),
                server: crash.server,
                lone: isLone,
                joint: wasJoint,
                suspects: suspectRuns.length,
            });
            scheduling.countCrash(history, { isCertain, isLone, isJoint: wasJoint });
            active.crashedAt = now;
            this.#applyChange(suspect);
        }
        const open = counted.filter(({ active }) => !jobState.isSettled(active.progress.status));
        if (open.length > 0 && (isLone || !wasJoint)) {
            open.forEach(({ history }) => history.awaitsJudgement = isLone);
            this.#open.push({ outage: crash.outage, suspects: open, isLone, judgedAt: now + judgementDelay });
            if (isLone) {
                fleet().confirmNeighbours(crash.outage);
            }
        }
    }

    /** Judges the crashes that are due. */
    update(): void {
        const now = this.options.shared.clock.monotonic();
        const due = this.#open.filter(({ judgedAt }) => now >= judgedAt);
        this.#open = this.#open.filter(({ judgedAt }) => now < judgedAt);
        due.forEach(crash => this.#judge(crash, now));
    }

    #judge({ outage, suspects, isLone }: OpenCrash, now: number): void {
        const { shared } = this.options;
        const isJoint = this.#isJoint(outage, isLone ? suspects : []);
        shared.log.info("crash-judged", {
            server: outage.server,
            lone: isLone,
            joint: isJoint,
            suspects: suspects.map(({ run }) => run.name),
        });
        for (const suspect of suspects) {
            const { active, history, isCertain } = suspect;
            history.awaitsJudgement &&= !isLone;
            const isCleared = history.crashes === 0;
            if (isCleared || jobState.isSettled(active.progress.status)) {
                continue;
            }
            scheduling.judgeCrash(history, { isCertain, isLone, isJoint });
            if (isLone) {
                active.crashedAt = now; // Since when it waits for a server on which nothing else is starting.
            }
            this.#applyChange(suspect);
        }
        shared.schedulePass();
    }

    /** @param causes the only possible causes of the outage, if it isn't joint: earlier crashes of theirs don't make it joint */
    #isJoint(outage: scheduling.Outage, causes: readonly Suspect[]): boolean {
        const { outages, sessions } = this.options.fleet();
        const explained = new Set(causes.flatMap(({ history }) => this.#counted.get(history)?.outages ?? []));
        return scheduling.isJoint(
            outage,
            outages.filter(other => !explained.has(other)),
            (rack, since) =>
                [...sessions.values()].some(({ entry, clock }) =>
                    entry.rack === rack && (clock.respondedAt ?? 0) > since
                ),
        );
    }

    /** Applies a change of the crashes of a task, and fails its job if the task crashes servers. */
    #applyChange({ active, occurrence, history, run }: Suspect): void {
        const { shared, fail } = this.options;
        jobState.touchTask(occurrence, run.taskIndex);
        active.readiness = undefined;
        shared.writer.markDirty(active.entry);
        if (scheduling.crashesServers(history) && !jobState.isSettled(active.progress.status)) {
            shared.log.warn("task-given-up", { task: run.name, ...crashRecords.describeCrashes(history) });
            fail(active);
        }
    }

    #findHistory({ entry, position, taskIndex }: session.ActiveRun): jobState.TaskHistory | undefined {
        const { occurrences } = this.options.registry.active.get(entry.id)?.progress ?? {};
        return occurrences?.get(position.occurrence)?.histories.get(taskIndex);
    }

    #findSuspect(started: session.StartedRun): Suspect | undefined {
        const { run, isCertain } = started;
        const active = this.options.registry.active.get(run.entry.id);
        const occurrence = active?.progress.occurrences.get(run.position.occurrence);
        const history = this.#findHistory(run);
        return active === undefined || occurrence === undefined || history === undefined
                || occurrence.done.has(run.taskIndex)
            ? undefined
            : { isCertain, active, occurrence, history, run, started };
    }

    /**
     * Records that the crash of the run's boot counts for the task. Returns whether it hasn't been counted, by this coordinator
     * or an earlier one.
     */
    #recordCrash({ history, run, isCertain }: Suspect, outage: scheduling.Outage): boolean {
        const stored = history.runs.find(({ number }) => number === run.runNumber);
        const { boots, outages } = this.#counted.get(history) ?? { boots: new Set(), outages: [] };
        // One that was counted by an earlier coordinator and hasn't been seen on a server since.
        const isStored = stored?.crashCounted === true && run.startClock === undefined;
        if (isStored || boots.has(run.bootId) && session.parseBootTime(run.bootId) !== undefined) {
            return false;
        }
        this.#counted.set(history, {
            boots: boots.add(run.bootId),
            outages: isCertain ? [...outages, outage] : outages,
        });
        if (stored !== undefined) {
            stored.crashCounted = true;
        }
        return true;
    }
}

/** Whether all suspects are runs of one task, or gang, that had started alone, and whose start the server had certainly got. */
function isLoneCrash(suspects: readonly session.StartedRun[]): boolean {
    const owners = new Set(
        suspects.map(({ run }) => run.step.gang ? run.stepKey : `${run.stepKey}.${run.position.index}`),
    );
    return owners.size === 1 && suspects.every(({ run, isCertain }) => run.startsAlone && isCertain);
}
