/**
 * Manages the runs of tasks: intents, starts, stops and ends.
 *
 * A start is sent only after its intent is stored. A start without a response is repeated on its server once a list shows that it
 * wasn't carried out, or its run is stopped. Only once the stop is confirmed or the server's lease has expired may the task be
 * started elsewhere.
 */
import * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as timers from "node:timers/promises";
import * as context from "./context.js";
import * as exhaustedAttempts from "./exhausted-attempts.js";
import type * as jobRegistry from "./job-registry.js";
import * as serverPoll from "./server-poll.js";
import * as session from "./server-session.js";
import * as startCalls from "./start-calls.js";

/** Time in ms between two attempts of a stop that wasn't confirmed. */
const stopRetryDelay = 250;
/** Time in ms between two attempts of a start that wasn't confirmed. */
const startRetryDelay = 250;
/** Time in ms between two checks whether such a start may be repeated. */
const startCheckInterval = 50;
/** Time in ms for which a server gets no starts after one that failed or was refused. */
const refusalBackoff = 300;

/** Phases of a run whose start may be on its way to the server. */
const unconfirmedPhases: ReadonlySet<session.RunPhase> = new Set([
    session.RunPhase.ordered,
    session.RunPhase.uncertain,
    session.RunPhase.stopping,
]);

/** Why a run is stopped. */
export const StopCause = {
    cancelled: "cancelled",
    /** Its job has its final status. */
    settled: "settled",
    /** It makes no progress. */
    stalled: "stalled",
    /** Its server is being emptied. */
    relocated: "relocated",
    /** Its start got no response. */
    startUnanswered: "start unanswered",
    /** A server listed it and the coordinator doesn't know it. */
    unknown: "unknown",
} as const;
export type StopCause = (typeof StopCause)[keyof typeof StopCause];

/** Phases that a run leaves when its server lists it. */
const listablePhases: ReadonlySet<session.RunPhase> = new Set([
    session.RunPhase.inherited,
    session.RunPhase.ordered,
    session.RunPhase.uncertain,
]);

export interface RunManagerOptions {
    readonly shared: context.CoordinatorContext;
    readonly registry: jobRegistry.JobRegistry;
    /** A run ended; reported for the health record of its server. */
    readonly onEnd: (server: session.ServerSession, run: session.ActiveRun, how: jobState.RunEnd) => void;
    /** A start got a response or failed, `duration` ms after it was sent. */
    readonly onStartAnswered: (duration: number) => void;
    /** Whether the run may be ended now without making more tasks of its step unavailable than it allows. */
    readonly canSpare: (run: session.ActiveRun) => boolean;
    /** What is known of the availability of the run's step now, for the log. */
    readonly describeStep: (run: Pick<session.ActiveRun, "step" | "stepKey">) => object;
    /** A run was planned. */
    readonly onPlanned?: (run: session.ActiveRun) => void;
    /** A server confirmed the first start of a job. */
    readonly onBegun?: (entry: jobState.JobEntry) => void;
    /** A job got its final status. */
    readonly onSettled?: (active: jobRegistry.ActiveJob) => void;
}

export function formatRunName(name: platform.TaskName, run: number): string {
    return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}/${run}`;
}

export class RunManager {
    #ended = false;
    /** Runs that were planned and whose start has no response yet. */
    readonly #startsUnderWay = new Set<session.ActiveRun>();

    constructor(private readonly options: RunManagerOptions) {}

    /** Number of runs that were planned and whose start has no response yet. */
    get startsUnderWay(): number {
        return this.#startsUnderWay.size;
    }

    /**
     * The coordinator's term is over: orders without a response aren't repeated any more, and what becomes known of the
     * runs isn't applied. The jobs' progress is read from the ledger again, and later coordinators use the run numbers
     * that this one hasn't stored.
     */
    end(): void {
        this.#ended = true;
    }

    /** Records the intent of a run, whose capacity `scheduling.placeStep` has occupied on the server already. */
    plan(
        active: jobRegistry.ActiveJob,
        ready: scheduling.ReadyStep,
        taskIndex: number,
        runNumber: number,
        server: session.ServerSession,
        ticket: string | undefined,
    ): session.ActiveRun {
        const { job, progress } = active;
        const occurrence = jobState.getOrCreateOccurrence(progress, job, ready.occurrence);
        const history = jobState.getOrCreateHistory(occurrence, taskIndex);
        history.lastRun = runNumber;
        history.runs.push({ number: runNumber, server: server.bootId });
        active.readiness = undefined;
        const run = this.#create(active, ready.occurrence, taskIndex, { number: runNumber, server: server.bootId }, {
            phase: session.RunPhase.planned,
            expectedInListsFrom: undefined,
            checkpoint: history.checkpoint,
            ticket,
            startsAlone: ready.alone,
            outlastedStart: false,
            measuresDuration: history.checkpoint === "",
        });
        server.runs.set(run.name, run);
        this.#startsUnderWay.add(run);
        this.#reserveStart(server, run);
        this.options.onPlanned?.(run);
        this.options.shared.writer.markDirty(active.entry);
        return run;
    }

    /** Takes over a run that an earlier coordinator started, and occupies its capacity on the server. */
    inherit(
        active: jobRegistry.ActiveJob,
        occurrenceNumber: number,
        taskIndex: number,
        identity: jobState.Run,
        server: session.ServerSession,
    ): void {
        const occurrence = jobState.getOrCreateOccurrence(active.progress, active.job, occurrenceNumber);
        const run = this.#create(active, occurrenceNumber, taskIndex, identity, {
            phase: session.RunPhase.inherited,
            expectedInListsFrom: 0,
            checkpoint: "",
            ticket: undefined,
            startsAlone: occurrence.histories.get(taskIndex)?.startsAlone === true,
            outlastedStart: identity.outlastedStart === true,
            measuresDuration: false,
        });
        server.runs.set(run.name, run);
        scheduling.occupy(server.load, run.step, run.stepKey);
    }

    #create(
        active: jobRegistry.ActiveJob,
        occurrenceNumber: number,
        taskIndex: number,
        identity: jobState.Run,
        origin: Pick<
            session.ActiveRun,
            | "phase"
            | "expectedInListsFrom"
            | "checkpoint"
            | "ticket"
            | "startsAlone"
            | "outlastedStart"
            | "measuresDuration"
        >,
    ): session.ActiveRun {
        const now = this.options.shared.clock.monotonic();
        const stepIndex = jobState.findStep(active.job, taskIndex);
        const position = {
            occurrence: occurrenceNumber,
            step: stepIndex,
            index: taskIndex - jobState.findFirstTask(active.job, stepIndex),
        };
        return {
            entry: active.entry,
            position,
            taskIndex,
            step: active.job.steps[stepIndex]!,
            stepKey: formatStepKey(active.job.id, position),
            name: formatRunName({ jobId: active.job.id, ...position }, identity.number),
            runNumber: identity.number,
            bootId: identity.server,
            plannedAt: now,
            startSentAt: now,
            startClock: undefined,
            startEvidence: origin.phase === session.RunPhase.inherited
                ? session.StartEvidence.inherited
                : session.StartEvidence.none,
            startLastSentAt: undefined,
            startToken: undefined,
            reachesKnownBootOnly: false,
            startedOnNextBoot: false,
            isStartCertain: identity.startConfirmed === true,
            percent: 0,
            percentChangedAt: now,
            usage: undefined,
            pace: 100,
            ...origin,
        };
    }

    /** Keeps other tasks from starting on the server while one that starts alone may crash it. */
    #reserveStart(server: session.ServerSession, run: session.ActiveRun): void {
        if (run.startsAlone) {
            server.startingAloneUntil = this.options.shared.clock.monotonic() + scheduling.startupPeriod;
        }
    }

    /**
     * Whether the server is up. A task that starts alone isn't sent to one that is lost already: its loss would look as if the
     * task had caused it.
     */
    async #isUp(server: session.ServerSession): Promise<boolean> {
        const { shared } = this.options;
        return server.clock.hasJustResponded(shared.clock.monotonic()) || await serverPoll.confirmBoot(shared, server);
    }

    /** Starts a run whose intent is stored. */
    async start(server: session.ServerSession, run: session.ActiveRun): Promise<void> {
        const { shared } = this.options;
        const isUp = !run.startsAlone || await this.#isUp(server);
        if (run.phase !== session.RunPhase.planned || !this.#isCurrent(server, run)) {
            return;
        }
        const isOpen = isUp && server.clock.sample !== undefined && server.mayStart(run);
        if (!isOpen || isOver(run.entry)) {
            this.#dropRun(
                server,
                run,
                "job over, or server draining, rebooted or in doubt before the start was sent",
            );
            return;
        }
        if (!shared.mayExtendLeases()) {
            this.#dropRun(server, run, "the intent was stored too long ago");
            return;
        }
        run.phase = session.RunPhase.ordered;
        this.#reserveStart(server, run);
        const sent = await startCalls.sendStart(shared, server, run);
        const { answer } = sent;
        this.#startsUnderWay.delete(run);
        this.options.onStartAnswered(shared.clock.monotonic() - sent.sentAt);
        if (!this.#isCurrent(server, run)) {
            return;
        }
        if (answer.isErr()) {
            if (run.phase !== session.RunPhase.ordered) {
                return; // The server has listed the run meanwhile, or it is being stopped.
            }
            if (answer.error.fault === httpCalls.CallFault.unsent) {
                this.#dropRun(server, run, answer.error.reason);
                server.backoffUntil = shared.clock.monotonic() + refusalBackoff;
                return;
            }
            run.phase = session.RunPhase.uncertain;
            server.backoffUntil = shared.clock.monotonic() + refusalBackoff;
            server.doubtBoot(shared.clock.monotonic());
            await this.#resolveUnansweredStart(server, run);
            return;
        }
        this.#handleStartAnswer(server, run, sent, platform.serverCalls.decodeOrderResult(answer.value));
    }

    /**
     * Finds out what became of a start without a response, by the server's next list. If it hasn't been carried out, it is
     * repeated there: if a later boot carries it out after all, no other server has the task. A server that refuses the repeats
     * loses it, as does one that doesn't respond to them for long; as it hasn't carried out the start, a stop ends nothing.
     */
    async #resolveUnansweredStart(server: session.ServerSession, run: session.ActiveRun): Promise<void> {
        const { shared } = this.options;
        const repeatsUntil = run.startSentAt + context.maxCallLateness;
        const isUncertain = () =>
            run.phase === session.RunPhase.uncertain && this.#isCurrent(server, run) && !server.closed && !this.#ended;
        const mayRepeat = () =>
            isUncertain() && run.bootId === server.bootId && !server.entry.draining
            && this.#findRoute(run)?.service === server.entry.service
            && !run.step.gang && shared.clock.monotonic() < repeatsUntil
            && !isOver(run.entry);
        while (mayRepeat()) {
            await timers.setTimeout(startCheckInterval);
            if (!mayRepeat()) {
                break;
            }
            if (!shared.mayExtendLeases() || !server.mayStart(run)) {
                continue; // A boot that started since would get a new lease by this call.
            }
            if (run.startsAlone && !(await this.#isUp(server) && mayRepeat() && server.mayStart(run))) {
                continue;
            }
            run.measuresDuration = false;
            this.#reserveStart(server, run);
            const sent = await startCalls.sendStart(shared, server, run);
            if (sent.answer.isErr()) {
                server.doubtBoot(shared.clock.monotonic());
                await timers.setTimeout(startRetryDelay);
                continue;
            }
            if (!isUncertain()) {
                return;
            }
            const decoded = platform.serverCalls.decodeOrderResult(sent.answer.value);
            if (decoded.kind === "done") {
                this.#handleStartAnswer(server, run, sent, decoded);
                return;
            }
            if (!server.handleFencing(shared, decoded, sent.token)) {
                break;
            }
            await timers.setTimeout(startRetryDelay);
        }
        if (isUncertain()) {
            void this.stop(server, run, StopCause.startUnanswered);
        }
    }

    /** Records that a server confirmed a start of the job, by its response or by listing a run or its end. */
    #recordBegun(entry: jobState.JobEntry): void {
        const { progress } = entry;
        if (progress === undefined || progress.begun) {
            return;
        }
        progress.begun = true;
        this.options.onBegun?.(entry);
        if (progress.status === jobState.JobStatus.queued) {
            progress.status = jobState.JobStatus.running;
            progress.statusAt = this.options.shared.clock.wall();
        }
        this.options.shared.writer.addToNextBatch(entry);
    }

    #handleStartAnswer(
        server: session.ServerSession,
        run: session.ActiveRun,
        { earliest, token }: startCalls.SentStart,
        answer: platform.serverCalls.OrderResult,
    ): void {
        const { shared } = this.options;
        const clock = "clock" in answer ? answer.clock : undefined;
        const isKnownBoot = clock === undefined || server.recordReading(clock, earliest, shared.clock.monotonic());
        if (answer.kind === "done") {
            this.#recordBegun(run.entry);
            run.startEvidence = session.StartEvidence.confirmed;
            if (isKnownBoot) {
                run.startClock ??= clock;
                if (run.startsAlone) {
                    this.#recordStart(run, "startConfirmed");
                }
            }
            else {
                run.startedOnNextBoot = true;
                shared.log.warn("start-on-another-boot", {
                    task: run.name,
                    clock,
                    // On the clock of the boot for which the start was meant.
                    leaseEnd: Math.round(server.leases.latestEnd),
                    ...server.describeContact(shared.clock.monotonic()),
                });
            }
            run.expectedInListsFrom ??= shared.clock.monotonic();
            if (run.phase === session.RunPhase.ordered || run.phase === session.RunPhase.uncertain) {
                run.phase = session.RunPhase.running;
            }
            return;
        }
        if (server.handleFencing(shared, answer, token) && !server.fence.isOwn(token)) {
            return;
        }
        shared.log.info("start-refused", {
            task: run.name,
            answer,
            ...server.describeContact(shared.clock.monotonic()),
        });
        server.backoffUntil = shared.clock.monotonic() + refusalBackoff;
        this.#dropRun(server, run, answer.kind);
    }

    /**
     * Stops a run, or drops it if its start wasn't sent. Resolves when the stop is confirmed, the run is gone or this
     * coordinator was fenced; at once if the run is being stopped already.
     */
    async stop(server: session.ServerSession, run: session.ActiveRun, cause: StopCause): Promise<void> {
        const { shared } = this.options;
        if (run.phase === session.RunPhase.planned) {
            this.#dropRun(server, run, "stopped before the start was sent");
            return;
        }
        if (run.phase === session.RunPhase.stopping) {
            return;
        }
        run.phase = session.RunPhase.stopping;
        run.expectedInListsFrom = undefined;
        const decidedAt = shared.clock.monotonic();
        while (this.#isCurrent(server, run) && !server.closed && !this.#ended) {
            if (!this.#mayStop(run, cause)) {
                await timers.setTimeout(stopRetryDelay);
                continue;
            }
            this.#logStop(server, run, cause, decidedAt);
            const { token } = server.fence;
            const call = platform.serverCalls.createStopCall(server.entry.id, {
                task: { jobId: run.entry.id, ...run.position },
                run: run.runNumber,
                fencingToken: token,
            });
            const earliest = server.clock.computeEarliestReading(shared.clock.monotonic());
            const answer = await shared.serverCalls.send(server.entry.address, call, context.serverCallTimeout);
            if (answer.isOk()) {
                const decoded = platform.serverCalls.decodeOrderResult(answer.value);
                if ("clock" in decoded && decoded.clock !== undefined) {
                    server.recordReading(decoded.clock, earliest, shared.clock.monotonic());
                }
                if (decoded.kind === "done") {
                    run.expectedInListsFrom = shared.clock.monotonic();
                    return;
                }
                if (server.handleFencing(shared, decoded, token) && !server.fence.isOwn(token)) {
                    return;
                }
            }
            await timers.setTimeout(stopRetryDelay);
        }
    }

    /**
     * Whether the stop may be sent now. One that only moves a task waits while others of its step are unavailable, as
     * some may have been lost since an earlier attempt; meanwhile the run counts as unavailable, since that attempt may
     * still be carried out.
     */
    #mayStop(run: session.ActiveRun, cause: StopCause): boolean {
        const { cancelledAt, progress } = run.entry;
        const isOver = cancelledAt !== undefined || (progress !== undefined && jobState.isSettled(progress.status));
        return cause !== StopCause.relocated || isOver || this.options.canSpare(run);
    }

    /** Logs each time that a stop of a long-running task is sent. */
    #logStop(server: session.ServerSession, run: session.ActiveRun, cause: StopCause, decidedAt: number): void {
        if (!run.step.longRunning) {
            return;
        }
        const { clock, log } = this.options.shared;
        log.info("long-running-stopped", {
            task: run.name,
            server: server.entry.id,
            cause,
            // Ms since the stop was decided; above 0 when it is repeated.
            since: Math.round(clock.monotonic() - decidedAt),
            percent: run.percent,
            step: this.options.describeStep(run),
        });
    }

    /**
     * Applies the lists of running and ended tasks in a lease renewal, with the time at which it was sent, on the monotonic
     * clock, and its fencing token.
     */
    applyLists(
        server: session.ServerSession,
        lists: Extract<platform.serverCalls.LeaseRenewalResult, { readonly kind: "lists"; }>,
        { sentAt, token }: { readonly sentAt: number; readonly token: number; },
    ): void {
        const seen = new Set<string>();
        for (const row of lists.running) {
            const name = formatRunName(row.task, row.run);
            seen.add(name);
            this.#applyRunning(server, name, row);
        }
        for (const row of lists.ended) {
            seen.add(formatRunName(row.task, row.run));
            if (row.number > server.ends.lastProcessed) {
                server.ends.lastProcessed = row.number;
                this.#applyEnd(server, row);
            }
        }
        const listed = { running: lists.running.length, ended: lists.ended.length };
        if (!lists.complete) {
            this.options.shared.log.warn("lists-incomplete", { server: server.entry.id, listed });
        }
        for (const [name, run] of server.runs) {
            const expected = run.expectedInListsFrom !== undefined && run.expectedInListsFrom < sentAt;
            const settled = session.isStartSettled(run, token) && unconfirmedPhases.has(run.phase);
            run.isStartCertain &&= !settled || seen.has(name);
            const repeatable = run.phase !== session.RunPhase.stopping && run.bootId === server.bootId;
            if ((expected || settled && !repeatable) && lists.complete && !seen.has(name)) {
                const evidence = {
                    listed,
                    processed: server.ends.lastProcessed,
                    startRefusedFrom: settled ? token : undefined,
                };
                this.#endRun(server, run, jobState.RunEnd.lost, "", evidence);
            }
            else if (run.bootId !== server.bootId && run.phase === session.RunPhase.inherited) {
                this.#endRun(server, run, jobState.RunEnd.lost, "", { bootedAt: server.bootedAt });
            }
        }
    }

    /**
     * Ends the runs that were on the boot before of a server, by a list of the new one that was requested at `sentAt`, on the
     * monotonic clock. A start that wasn't confirmed, and of which no stop was, may still reach the new boot, so it is kept
     * until one of them is answered. One that was confirmed since `sentAt`, or by another boot, may be on the new one, and is
     * kept until a list requested after that omits it. A run that was listed has ended, also if it was to be stopped.
     */
    endEarlierBoot(server: session.ServerSession, sentAt: number): void {
        const mayBeOnNewBoot = (run: session.ActiveRun) =>
            run.startedOnNextBoot || run.expectedInListsFrom !== undefined && run.expectedInListsFrom >= sentAt
            || unconfirmedPhases.has(run.phase) && run.expectedInListsFrom === undefined
                && run.startClock === undefined;
        const ended = [...server.runs.values()].filter(run => !mayBeOnNewBoot(run));
        this.endRuns(server, ended, jobState.RunEnd.lost);
    }

    /** Ends runs of a server that can't be running any more. */
    endRuns(server: session.ServerSession, runs: readonly session.ActiveRun[], how: jobState.RunEnd): void {
        if (this.#ended) {
            return;
        }
        for (const run of runs) {
            if (run.phase === session.RunPhase.planned) {
                this.#dropRun(server, run, "server gone before the start was sent");
            }
            else {
                this.#endRun(server, run, how, "");
            }
        }
    }

    #applyRunning(server: session.ServerSession, name: string, row: platform.serverCalls.RunningRun): void {
        let run = server.runs.get(name);
        if (run === undefined) {
            run = this.#handleUnknownRun(server, row);
            if (run === undefined) {
                return;
            }
        }
        run.expectedInListsFrom ??= run.phase === session.RunPhase.stopping
            ? undefined
            : this.options.shared.clock.monotonic();
        if (listablePhases.has(run.phase)) {
            run.phase = session.RunPhase.running;
            run.expectedInListsFrom = this.options.shared.clock.monotonic();
        }
        if (run.step.longRunning && run.phase === session.RunPhase.stopping) {
            this.options.shared.log.info("stopping-run-listed", { task: run.name, percent: row.percent });
        }
        this.#recordBegun(run.entry);
        run.startEvidence = session.StartEvidence.listed;
        run.startClock ??= server.clock.latest;
        this.#recordBoot(server, run);
        this.#keepCheckpoint(run, row.checkpoint);
        if (run.percent !== row.percent) {
            run.percent = row.percent;
            run.percentChangedAt = this.options.shared.clock.monotonic();
        }
        run.usage = row.usage;
        if (!scheduling.isCrashSuspect({ provenTime: server.computeProvenTime(run) })) {
            this.#clearCrashes(run);
            if (run.step.longRunning) {
                this.#recordStart(run, "outlastedStart");
            }
        }
    }

    /** Keeps a reported checkpoint, unless it is empty or too long to be stored. */
    #keepCheckpoint(run: session.ActiveRun, checkpoint: string): void {
        const size = Buffer.byteLength(checkpoint);
        if (size > jobState.maxCheckpointSize) {
            this.options.shared.log.warn("checkpoint-too-long", { task: run.name, size });
        }
        else if (checkpoint !== "") {
            run.checkpoint = checkpoint;
        }
    }

    /** Records that the run is on the boot that listed it, if the start was meant for another one. */
    #recordBoot(server: session.ServerSession, run: session.ActiveRun): void {
        run.startedOnNextBoot = false;
        const occurrence = run.entry.progress?.occurrences.get(run.position.occurrence);
        const history = occurrence?.histories.get(run.taskIndex);
        if (run.bootId !== server.bootId && occurrence !== undefined && history !== undefined) {
            run.bootId = server.bootId;
            history.runs = history.runs.map(stored =>
                stored.number === run.runNumber ? { ...stored, server: server.bootId } : stored
            );
            jobState.touchTask(occurrence, run.taskIndex);
            this.options.shared.writer.markDirty(run.entry);
        }
    }

    /** Records for later coordinators, which didn't see the start, that the server has got it or has outlasted it. */
    #recordStart(run: session.ActiveRun, key: "startConfirmed" | "outlastedStart"): void {
        const occurrence = run.entry.progress?.occurrences.get(run.position.occurrence);
        const history = occurrence?.histories.get(run.taskIndex);
        const stored = history?.runs.find(({ number }) => number === run.runNumber);
        if (occurrence !== undefined && stored !== undefined && stored[key] !== true) {
            stored[key] = true;
            jobState.touchTask(occurrence, run.taskIndex);
            this.options.shared.writer.markDirty(run.entry);
        }
    }

    /** Clears the run's task of suspicion, as its server has outlasted the start. */
    #clearCrashes(run: session.ActiveRun): void {
        const occurrence = run.entry.progress?.occurrences.get(run.position.occurrence);
        const history = occurrence?.histories.get(run.taskIndex);
        if (occurrence !== undefined && history !== undefined && history.crashes > 0) {
            jobState.touchTask(occurrence, run.taskIndex);
            scheduling.clearCrashes(history);
            history.runs.forEach(stored => stored.startConfirmed = false);
            this.options.shared.writer.markDirty(run.entry);
        }
    }

    /**
     * Handles a listed run that the coordinator doesn't know: takes it over if its task has no other run and isn't
     * done, else stops it.
     */
    #handleUnknownRun(
        server: session.ServerSession,
        row: platform.serverCalls.RunningRun,
    ): session.ActiveRun | undefined {
        const active = this.options.registry.active.get(row.task.jobId);
        const step = active?.job.steps[row.task.step];
        if (active === undefined || step === undefined || row.task.index >= step.taskCount) {
            this.#stopUnknownRun(server, row);
            return undefined;
        }
        const taskIndex = jobState.findFirstTask(active.job, row.task.step) + row.task.index;
        const occurrence = jobState.getOrCreateOccurrence(active.progress, active.job, row.task.occurrence);
        const history = jobState.getOrCreateHistory(occurrence, taskIndex);
        if (occurrence.done.has(taskIndex) || history.runs.length > 0 || active.entry.cancelledAt !== undefined) {
            this.#stopUnknownRun(server, row, step);
            return undefined;
        }
        history.lastRun = Math.max(history.lastRun, row.run);
        history.runs.push({ number: row.run, server: server.bootId });
        active.readiness = undefined;
        this.inherit(active, row.task.occurrence, taskIndex, { number: row.run, server: server.bootId }, server);
        this.options.shared.writer.markDirty(active.entry);
        return server.runs.get(formatRunName(row.task, row.run));
    }

    /** @param step `undefined` if the coordinator doesn't know the job */
    #stopUnknownRun(
        server: session.ServerSession,
        row: platform.serverCalls.RunningRun,
        step?: jobState.Step,
    ): void {
        const { shared } = this.options;
        const stepKey = formatStepKey(row.task.jobId, row.task);
        shared.log.warn("unknown-run-stopped", {
            task: formatRunName(row.task, row.run),
            server: server.entry.id,
            percent: row.percent,
            step: step?.longRunning === true ? this.options.describeStep({ step, stepKey }) : undefined,
        });
        const call = platform.serverCalls.createStopCall(server.entry.id, {
            task: row.task,
            run: row.run,
            fencingToken: server.fence.token,
        });
        void shared.serverCalls.send(server.entry.address, call, context.serverCallTimeout);
    }

    #applyEnd(server: session.ServerSession, row: platform.serverCalls.EndedRun): void {
        const run = server.runs.get(formatRunName(row.task, row.run));
        const active = this.options.registry.active.get(row.task.jobId);
        const entry = run?.entry ?? active?.entry;
        if (entry !== undefined) {
            this.#recordBegun(entry);
        }
        if (run !== undefined) {
            this.#endRun(server, run, row.how, row.checkpoint);
            return;
        }
        const step = active?.job.steps[row.task.step];
        if (active !== undefined && step !== undefined && row.how === jobState.RunEnd.done && !step.longRunning) {
            const taskIndex = jobState.findFirstTask(active.job, row.task.step) + row.task.index;
            this.#markDone(active, row.task.occurrence, taskIndex, step);
        }
        if (active === undefined) {
            this.#reportUntrackedEnd(server, row);
        }
    }

    /** Logs an end that has no effect, although its job isn't known to be settled. */
    #reportUntrackedEnd(server: session.ServerSession, row: platform.serverCalls.EndedRun): void {
        const entry = this.options.shared.jobs.entries.get(row.task.jobId);
        const status = entry?.progress?.status;
        if (status === undefined || !jobState.isSettled(status)) {
            this.options.shared.log.warn("end-of-untracked-job", {
                task: formatRunName(row.task, row.run),
                server: server.bootId,
                end: row.number,
                how: row.how,
                queue: entry?.job?.queue,
                status,
            });
        }
    }

    /**
     * Applies the end of a run to its task and job.
     *
     * @param evidence what shows the end of a run that the server didn't list as ended, for the log
     */
    #endRun(
        server: session.ServerSession,
        run: session.ActiveRun,
        how: jobState.RunEnd,
        checkpoint: string,
        evidence?: object,
    ): void {
        const { registry, shared } = this.options;
        this.#removeRun(server, run);
        const active = registry.active.get(run.entry.id);
        if (active === undefined) {
            return;
        }
        const occurrence = jobState.getOrCreateOccurrence(active.progress, active.job, run.position.occurrence);
        const history = jobState.getOrCreateHistory(occurrence, run.taskIndex);
        if (run.step.checkpointed) {
            this.#keepCheckpoint(run, checkpoint);
            history.checkpoint = run.checkpoint;
        }
        if (how === jobState.RunEnd.done && !run.step.longRunning) {
            if (run.measuresDuration) {
                registry.recordTaskTime(active, run.position.step, shared.clock.monotonic() - run.plannedAt);
            }
            this.#markDone(active, run.position.occurrence, run.taskIndex, run.step);
        }
        else if (how === jobState.RunEnd.failed) {
            this.#clearCrashes(run);
            this.#countFailure(active, run, history, server);
        }
        if (how !== jobState.RunEnd.done) {
            shared.log.info("run-ended", {
                task: run.name,
                server: server.entry.id,
                how,
                epoch: shared.epoch,
                failures: history.failures,
                crashes: history.crashes,
                // Ms since the start was sent, or since this coordinator took the run over.
                after: Math.round(shared.clock.monotonic() - run.startSentAt),
                boot: run.bootId,
                evidence,
                // Of these, ms for which the server was certainly up.
                provenTime: server.computeProvenTime(run),
            });
        }
        jobState.dropEndedHistory(occurrence, run.taskIndex);
        this.options.onEnd(server, run, how);
        active.readiness = undefined;
        shared.writer.markDirty(active.entry);
        this.finishIfSettled(active);
        shared.schedulePass();
    }

    #countFailure(
        active: jobRegistry.ActiveJob,
        run: session.ActiveRun,
        history: jobState.TaskHistory,
        server: session.ServerSession,
    ): void {
        history.failures += 1;
        active.avoided.add(server.entry.id);
        if (!run.step.longRunning && active.route !== undefined && history.failures >= active.route.maxAttempts) {
            this.#settle(active, jobState.JobStatus.failed);
        }
    }

    /** Fails the job, unless it is settled. */
    fail(active: jobRegistry.ActiveJob): void {
        this.#settle(active, jobState.JobStatus.failed);
        this.finishIfSettled(active);
    }

    /** Fails a job whose route became known only after a task had used up its attempts. */
    failIfExhausted(active: jobRegistry.ActiveJob): void {
        if (exhaustedAttempts.hasExhaustedTask(active)) {
            this.#settle(active, jobState.JobStatus.failed);
        }
    }

    #markDone(active: jobRegistry.ActiveJob, occurrenceNumber: number, taskIndex: number, step: jobState.Step): void {
        const occurrence = jobState.getOrCreateOccurrence(active.progress, active.job, occurrenceNumber);
        const first = jobState.findFirstTask(active.job, active.job.steps.indexOf(step));
        // The tasks of a gang make progress only together, so the end of one ends all.
        const ended = step.gang ? occurrence.done.complement(first, step.taskCount) : [taskIndex];
        for (const other of ended) {
            jobState.markDone(occurrence, other);
            jobState.dropEndedHistory(occurrence, other);
        }
        active.readiness = undefined;
        if (jobState.isComplete(active.progress, active.job)) {
            this.#settle(active, jobState.JobStatus.completed);
        }
        this.options.shared.writer.markDirty(active.entry);
    }

    /** Sets the final status of the job, unless it has one. */
    #settle(active: jobRegistry.ActiveJob, status: jobState.JobStatus): void {
        const { shared } = this.options;
        if (jobState.isSettled(active.progress.status)) {
            return;
        }
        active.progress.status = status;
        active.progress.statusAt = shared.clock.wall();
        shared.log.info("job-settled", {
            job: active.job.id,
            queue: active.job.queue,
            status,
            age: active.progress.statusAt - active.job.submittedAt,
        });
        this.options.onSettled?.(active);
        shared.writer.markDirty(active.entry);
    }

    /**
     * Completes what an earlier coordinator may have stored in part, as the progress of a large job isn't stored at once: the
     * end of a gang, and the status that follows from the last end.
     */
    completeStoredEnds(active: jobRegistry.ActiveJob): void {
        const { job, progress } = active;
        if (progress.parts === undefined || jobState.isSettled(progress.status)) {
            return;
        }
        for (const [number, occurrence] of progress.occurrences) {
            job.steps.forEach((step, i) => {
                const first = jobState.findFirstTask(job, i);
                const doneCount = occurrence.done.countIn(first, step.taskCount);
                if (step.gang && doneCount > 0 && doneCount < step.taskCount) {
                    this.#markDone(active, number, first, step);
                }
            });
        }
        if (jobState.isComplete(progress, job)) {
            this.#settle(active, jobState.JobStatus.completed);
        }
    }

    /** Marks a cancelled job as settled, and removes a settled job from the registry once it has no runs. */
    finishIfSettled(active: jobRegistry.ActiveJob): void {
        if (active.entry.cancelledAt !== undefined && !jobState.isSettled(active.progress.status)) {
            this.#settle(active, jobState.JobStatus.cancelled);
        }
        if (!jobState.isSettled(active.progress.status)) {
            return;
        }
        if (!jobState.hasRuns(active.progress)) {
            this.options.registry.remove(active.job.id);
        }
    }

    /** Removes a run that was not started and never will be. */
    #dropRun(server: session.ServerSession, run: session.ActiveRun, reason: string): void {
        this.options.shared.log.info("start-dropped", {
            task: run.name,
            server: server.entry.id,
            reason,
        });
        this.#removeRun(server, run);
        const active = this.options.registry.active.get(run.entry.id);
        if (active !== undefined) {
            active.readiness = undefined;
            this.options.shared.writer.markDirty(active.entry);
            this.finishIfSettled(active);
        }
        this.options.shared.schedulePass();
    }

    #removeRun(server: session.ServerSession, run: session.ActiveRun): void {
        server.runs.delete(run.name);
        this.#startsUnderWay.delete(run);
        scheduling.release(server.load, run.step, run.stepKey);
        const occurrence = run.entry.progress?.occurrences.get(run.position.occurrence);
        const history = occurrence?.histories.get(run.taskIndex);
        if (occurrence !== undefined && history !== undefined) {
            jobState.touchTask(occurrence, run.taskIndex);
            history.runs = history.runs.filter(other => other.number !== run.runNumber);
            jobState.dropEndedHistory(occurrence, run.taskIndex);
        }
    }

    #findRoute({ entry }: session.ActiveRun): jobState.RouteTerms | undefined {
        return this.options.registry.active.get(entry.id)?.route;
    }

    #isCurrent(server: session.ServerSession, run: session.ActiveRun): boolean {
        return !this.#ended && server.runs.get(run.name) === run;
    }
}

/** Whether no task of the job may start any more. A later coordinator may have ended it, and its payload may be gone. */
function isOver({ cancelledAt, finalStatus }: jobState.JobEntry): boolean {
    return cancelledAt !== undefined || finalStatus !== undefined;
}

/** Key of one occurrence of a step: "<job>.<occurrence>.<step>". */
export function formatStepKey(
    jobId: string,
    position: { readonly occurrence: number; readonly step: number; },
): string {
    return `${jobId}.${position.occurrence}.${position.step}`;
}
