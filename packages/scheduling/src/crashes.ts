/**
 * Attributes crashes of backend servers to tasks, and decides which task is given up because it crashes the servers
 * that start it.
 *
 * Such a task brings its server down shortly after its start. So the suspects of a crash are the runs for which the
 * server wasn't seen up any longer than that; a run that outlasts its start clears its task. From then on a suspect
 * starts alone: no other task starts on its server until it is clear or has crashed that server, too, which makes it
 * the only suspect of that crash.
 */
import type * as jobState from "@catkinwharf/job-state";

/** Time in ms after a task's start in which its server may crash because of it. */
export const startupPeriod = 500;
/** Crashes with a task among the suspects that make it the cause, if in one of them all suspects were of its job. */
const certainCrashes = 2;
/** The same if in none of them all suspects were of its job, or servers were lost together. */
const sharedCrashes = 3;
/** Time in ms in which servers that become unreachable count as lost together. */
const jointLossPeriod = 1000;
/** Number of servers lost within that time from which on a crash counts as a joint loss. */
const jointLossCount = 3;

/** A run on a server that crashed. */
export interface CrashedRun {
    readonly jobId: string;
    /** Ms from the run's start for which the server was seen up. */
    readonly provenTime: number;
}

/** Whether the run may have crashed its server. */
export function isCrashSuspect(run: CrashedRun): boolean {
    return run.provenTime < startupPeriod;
}

/** What a crash says about its suspects. */
export const CrashEvidence = {
    /** All suspects belong to one job, so no other job can be the cause. */
    sole: "sole",
    /** The suspects belong to several jobs. */
    shared: "shared",
    /** Several servers were lost together: a rack, a switch or a zone is a likelier cause than any task. */
    joint: "joint",
} as const;
export type CrashEvidence = (typeof CrashEvidence)[keyof typeof CrashEvidence];

/**
 * Judges a crash.
 *
 * @param lossTimes when each server was last found unreachable or rebooted, in ms on the monotonic clock
 * @param now time at which the crash is judged, in ms on the monotonic clock
 */
export function judgeCrash(suspects: readonly CrashedRun[], lossTimes: readonly number[], now: number): CrashEvidence {
    const lostTogether = lossTimes.filter(time => now - time < jointLossPeriod).length;
    if (lostTogether >= jointLossCount) {
        return CrashEvidence.joint;
    }
    return new Set(suspects.map(run => run.jobId)).size === 1 ? CrashEvidence.sole : CrashEvidence.shared;
}

/** Counts a crash of which the task was a suspect. */
export function countCrash(history: jobState.TaskHistory, evidence: CrashEvidence): void {
    history.crashes += 1;
    history.soleCrashes += evidence === CrashEvidence.sole ? 1 : 0;
    // One joint loss makes suspects of far too many tasks to start each of them alone.
    history.startsAlone ||= evidence !== CrashEvidence.joint || history.crashes > 1;
}

/** Clears the task of suspicion: a server has outlasted its start. */
export function clearCrashes(history: jobState.TaskHistory): void {
    history.crashes = 0;
    history.soleCrashes = 0;
    history.startsAlone = false;
}

/** Whether the task crashes the servers that start it, and isn't started again. */
export function crashesServers(history: jobState.TaskHistory): boolean {
    return history.crashes >= sharedCrashes || (history.crashes >= certainCrashes && history.soleCrashes > 0);
}
