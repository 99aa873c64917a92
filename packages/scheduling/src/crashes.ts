/**
 * Attributes crashes of backend servers to tasks, and decides which task is given up because it crashes the servers
 * that start it.
 *
 * Such a task brings its server down shortly after its start. So the suspects of a crash are the runs for which the
 * server wasn't seen up any longer than that; a run that outlasts its start clears its task. From then on a suspect
 * starts alone: no other task starts on its server until it is clear or has crashed that server, too.
 *
 * Suspicion only delays a task. What gives it up are crashes under starts that servers have certainly got, above all lone ones,
 * of servers that nothing but the task can have crashed.
 */
import type * as jobState from "@catkinwharf/job-state";

/** Time in ms after a task's start in which its server may crash because of it. */
export const startupPeriod = 500;
/** Blame for crashes, with no start outlasted in between, that makes a task the cause: that of two lone ones. */
const maxBlame = 4;
/** Blame for a lone crash; another one under a certain start counts 1, and a joint one nothing. */
const loneBlame = 2;
/**
 * Crashes under certain starts that make a task the cause, whatever the blame: it bounds the servers lost to a task under which
 * other servers are lost all the time.
 */
const maxCertainCrashes = 4;
/** Longest time in ms between the losses of two servers that may have one cause: those of a rack may fall one by one. */
const jointLossPeriod = 1000;
/** Number of servers lost within that time from which on the loss of each is a joint one, whatever their racks. */
const jointLossCount = 3;

/** A run on a server that crashed. */
export interface CrashedRun {
    /** Ms from the run's start for which the server was seen up. */
    readonly provenTime: number;
}

/** Whether the run may have crashed its server. */
export function isCrashSuspect(run: CrashedRun): boolean {
    return run.provenTime < startupPeriod;
}

/** A loss of contact with a server that no order and no shutdown explains; all times in ms on the monotonic clock. */
export interface Outage {
    /** ID of the server. */
    readonly server: string;
    /** Empty if it isn't known. */
    readonly rack: string;
    /** When the server was last seen up. */
    readonly lastSeenAt: number;
    /** By when it had been lost. */
    readonly lostBy: number;
    /** A task that starts alone had just started there, and may explain it. */
    readonly hasLoneStart: boolean;
}

/**
 * Whether a rack, a switch or a zone is a likelier cause of an outage than any task, as other servers may have been lost
 * together with this one: another one of its rack, or several that no lone start explains.
 *
 * @param isRackUp whether a server of the rack has responded since a time on the monotonic clock, in ms
 */
export function isJoint(
    outage: Outage,
    outages: readonly Outage[],
    isRackUp: (rack: string, since: number) => boolean,
): boolean {
    const together = outages.filter(other =>
        other.server !== outage.server && other.lastSeenAt - jointLossPeriod <= outage.lostBy
        && outage.lastSeenAt - jointLossPeriod <= other.lostBy
    );
    const unexplained = together.filter(other => !other.hasLoneStart);
    return unexplained.length + 1 >= jointLossCount
        || unexplained.some(({ rack }) => rack !== "" && rack === outage.rack)
        || together.some(({ rack, lostBy }) =>
            rack !== "" && rack === outage.rack && !isRackUp(rack, Math.max(lostBy, outage.lostBy))
        );
}

/** What is known at once of a crash and the start of a suspect. */
export interface CrashSigns {
    /** The server had certainly got the start. */
    readonly isCertain: boolean;
    /** That of a task that had started alone, with no other suspect. */
    readonly isLone: boolean;
    readonly isJoint: boolean;
}

/** Counts a crash of which the task was a suspect. */
export function countCrash(history: jobState.TaskHistory, { isCertain, isJoint }: CrashSigns): void {
    history.crashes += 1;
    history.certainCrashes += isCertain ? 1 : 0;
    // One joint loss makes suspects of far too many tasks to start each of them alone.
    history.startsAlone ||= !isJoint || history.crashes > 1;
}

/** Counts that such a crash has turned out to be joint, or not to be. */
export function judgeCrash(history: jobState.TaskHistory, { isCertain, isLone, isJoint }: CrashSigns): void {
    if (isJoint) {
        history.startsAlone &&= history.crashes > 1;
    }
    else {
        history.blame += isLone ? loneBlame : isCertain ? 1 : 0;
    }
}

/** Clears the task of suspicion: a server has outlasted its start. */
export function clearCrashes(history: jobState.TaskHistory): void {
    history.crashes = 0;
    history.certainCrashes = 0;
    history.blame = 0;
    history.startsAlone = false;
}

/** Whether the task crashes the servers that start it, and isn't started again. */
export function crashesServers(history: jobState.TaskHistory): boolean {
    return history.blame >= maxBlame || history.certainCrashes >= maxCertainCrashes;
}
