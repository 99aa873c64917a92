/** Counts the crashes of servers for the tasks that may have caused them. */
import * as jobState from "@catkinwharf/job-state";
import * as scheduling from "@catkinwharf/scheduling";
import type * as context from "./context.js";
import * as crashRecords from "./crash-records.js";
import type * as fleet from "./fleet.js";
import type * as jobRegistry from "./job-registry.js";

export interface CrashCounterOptions {
    readonly shared: Pick<context.CoordinatorContext, "clock" | "epoch" | "log" | "writer">;
    readonly registry: Pick<jobRegistry.JobRegistry, "active">;
    /** Fails the job of a task that crashes servers. */
    readonly fail: (active: jobRegistry.ActiveJob) => void;
}

/** Counts the crash of a server for the tasks that may have caused it, and fails the jobs of those that did. */
export function countCrash(crash: fleet.ServerCrash, { shared, registry, fail }: CrashCounterOptions): void {
    const suspects = crash.runs.filter(started => scheduling.isCrashSuspect(started));
    const now = shared.clock.monotonic();
    const evidence = scheduling.judgeCrash(suspects, crash.lossTimes, now);
    shared.log.warn("server-crashed", {
        server: crash.server,
        runs: crash.runs.length,
        epoch: shared.epoch,
        suspects: suspects.map(started => started.run.name),
        boots: [...new Set(suspects.map(started => started.run.bootId))],
        evidence,
        starts: crashRecords.describeSuspects(
            suspects,
            ({ entry, position, taskIndex }) =>
                registry.active.get(entry.id)?.progress.occurrences.get(position.occurrence)?.histories.get(taskIndex),
            now,
        ),
    });
    const counted = new Set<jobState.TaskHistory>();
    for (const suspect of suspects) {
        const { run } = suspect;
        const active = registry.active.get(run.entry.id);
        const occurrence = active?.progress.occurrences.get(run.position.occurrence);
        const history = occurrence?.histories.get(run.taskIndex);
        if (active === undefined || occurrence === undefined || history === undefined) {
            continue;
        }
        const stored = history.runs.find(({ number }) => number === run.runNumber);
        // Counted by this coordinator or an earlier one, and not seen on a server since.
        const isCounted = stored?.crashCounted === true && run.startClock === undefined;
        const isOpen = occurrence.done[run.taskIndex] !== 1;
        if (isOpen && !counted.has(history) && !isCounted) {
            counted.add(history);
            jobState.touchTask(occurrence, run.taskIndex);
            crashRecords.recordCrash(history, {
                ...crashRecords.describeStart(suspect, now),
                server: crash.server,
                evidence,
                suspects: suspects.length,
            });
            scheduling.countCrash(history, evidence);
            if (stored !== undefined) {
                stored.crashCounted = true;
            }
            active.crashedAt = now;
            active.readiness = undefined;
            shared.writer.markDirty(active.entry);
            if (scheduling.crashesServers(history)) {
                shared.log.warn("task-given-up", { task: run.name, ...crashRecords.describeCrashes(history) });
                fail(active);
            }
        }
    }
}
