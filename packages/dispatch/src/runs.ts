/**
 * Runs of tasks: intents, starts, stops and ends.
 *
 * A start is sent after its intent is stored. A start without an answer is stopped first; only then, or when the
 * server's lease has lapsed, may the task be started elsewhere.
 */
import * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as timers from "node:timers/promises";
import * as context from "./context.js";
import type * as jobBoard from "./job-board.js";
import * as session from "./server-session.js";

/** Time in ms between two tries of a stop that got no answer. */
const stopRetryDelay = 250;
/** Time in ms for which a server that refused a start gets none. */
const refusalRest = 300;

export interface RunsOptions {
    readonly shared: context.CoordinatorContext;
    readonly board: jobBoard.JobBoard;
    /** An end was taken in, for whoever judges servers. */
    readonly onEnd: (server: session.ServerSession, run: session.ActiveRun, how: jobState.RunEnd) => void;
}

export function nameRun(name: platform.TaskName, run: number): string {
    return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}/${run}`;
}

export class Runs {
    constructor(private readonly options: RunsOptions) {}

    /** Records the intent of a run; its room is occupied already. */
    plan(
        active: jobBoard.ActiveJob,
        ready: scheduling.ReadyStep,
        task: number,
        number: number,
        server: session.ServerSession,
        ticket: string | undefined,
    ): session.ActiveRun {
        const { job, progress } = active;
        const occurrence = jobState.findOccurrence(progress, job, ready.occurrence);
        const history = jobState.findHistory(occurrence, task);
        history.lastRun = number;
        history.runs.push({ number, server: server.boot });
        if (!progress.begun) {
            progress.begun = true;
            progress.status = jobState.JobStatus.running;
            progress.statusAt = this.options.shared.clock.wall();
        }
        active.readiness = undefined;
        const run = this.#create(active, ready.occurrence, task, { number, server: server.boot }, {
            phase: session.RunPhase.planned,
            listableFrom: undefined,
            checkpoint: history.checkpoint,
            ticket,
            timed: history.checkpoint === "",
        });
        server.runs.set(run.name, run);
        this.options.shared.writer.mark(active.entry);
        return run;
    }

    /** Takes over a run that an earlier coordinator intended. */
    inherit(
        active: jobBoard.ActiveJob,
        occurrence: number,
        task: number,
        stored: jobState.Run,
        server: session.ServerSession,
    ): void {
        const run = this.#create(active, occurrence, task, stored, {
            phase: session.RunPhase.inherited,
            listableFrom: 0,
            checkpoint: "",
            ticket: undefined,
            timed: false,
        });
        server.runs.set(run.name, run);
        scheduling.occupy(server.load, run.step, run.stepKey);
    }

    #create(
        active: jobBoard.ActiveJob,
        occurrence: number,
        task: number,
        intended: jobState.Run,
        origin: Pick<session.ActiveRun, "phase" | "listableFrom" | "checkpoint" | "ticket" | "timed">,
    ): session.ActiveRun {
        const now = this.options.shared.clock.steady();
        const step = jobState.findStep(active.job, task);
        const position = { occurrence, step, index: task - jobState.findFirstTask(active.job, step) };
        return {
            entry: active.entry,
            position,
            task,
            step: active.job.steps[step]!,
            stepKey: nameStep(active.job.id, position),
            name: nameRun({ jobId: active.job.id, ...position }, intended.number),
            number: intended.number,
            server: intended.server,
            orderedAt: now,
            percent: 0,
            percentChangedAt: now,
            usage: undefined,
            pace: 100,
            ...origin,
        };
    }

    /** Sends the start of a run whose intent is stored. */
    async start(server: session.ServerSession, run: session.ActiveRun): Promise<void> {
        const { shared } = this.options;
        if (run.phase !== session.RunPhase.planned || !this.#isCurrent(server, run)) {
            return;
        }
        const now = shared.clock.steady();
        const serverClock = server.readClock(now);
        if (serverClock === undefined || run.entry.cancelledAt !== undefined || run.server !== server.boot) {
            this.#drop(server, run, "not sent");
            return;
        }
        const leaseEnd = serverClock + context.findLeaseTime(shared.settings);
        server.leaseEndSent = Math.max(server.leaseEndSent, leaseEnd);
        run.phase = session.RunPhase.ordered;
        run.orderedAt = now;
        const call = platform.serverCalls.createStart(server.entry.id, {
            task: { jobId: run.entry.id, ...run.position },
            run: run.number,
            payload: run.entry.job!.payload,
            leaseEnd,
            fencingToken: shared.epoch,
            checkpoint: run.checkpoint,
            ticket: run.ticket,
        });
        const answer = await shared.calls.send(server.entry.address, call, context.orderTimeout);
        if (!this.#isCurrent(server, run)) {
            return;
        }
        if (answer.isErr()) {
            if (answer.error.fault === httpCalls.CallFault.unsent) {
                this.#drop(server, run, answer.error.reason);
                server.restUntil = shared.clock.steady() + refusalRest;
                return;
            }
            shared.log.warn("start-unanswered", {
                task: run.name,
            });
            run.phase = session.RunPhase.uncertain;
            server.restUntil = shared.clock.steady() + refusalRest;
            void this.stop(server, run);
            return;
        }
        this.#takeStartAnswer(server, run, platform.serverCalls.decodeOrder(answer.value));
    }

    #takeStartAnswer(
        server: session.ServerSession,
        run: session.ActiveRun,
        answer: platform.serverCalls.OrderAnswer,
    ): void {
        const { shared } = this.options;
        if (answer.kind === "done") {
            run.listableFrom ??= shared.clock.steady();
            if (run.phase === session.RunPhase.ordered) {
                run.phase = session.RunPhase.running;
            }
            return;
        }
        if (context.stepDownIfFenced(shared, server.entry.id, answer)) {
            return;
        }
        shared.log.info("start-refused", {
            task: run.name,
            server: server.entry.id,
            answer,
        });
        server.restUntil = shared.clock.steady() + refusalRest;
        this.#drop(server, run, answer.kind);
    }

    /** Stops a run; what isn't sent yet is dropped. Returns when the server has it, or the run is gone. */
    async stop(server: session.ServerSession, run: session.ActiveRun): Promise<void> {
        const { shared } = this.options;
        if (run.phase === session.RunPhase.planned) {
            this.#drop(server, run, "stopped before its start");
            return;
        }
        if (run.phase === session.RunPhase.stopping) {
            return;
        }
        run.phase = session.RunPhase.stopping;
        run.listableFrom = undefined;
        while (this.#isCurrent(server, run) && !server.closed) {
            const call = platform.serverCalls.createStop(server.entry.id, {
                task: { jobId: run.entry.id, ...run.position },
                run: run.number,
                fencingToken: shared.epoch,
            });
            const answer = await shared.calls.send(server.entry.address, call, context.orderTimeout);
            if (answer.isOk()) {
                const decoded = platform.serverCalls.decodeOrder(answer.value);
                if (decoded.kind === "done") {
                    run.listableFrom = shared.clock.steady();
                    return;
                }
                if (context.stepDownIfFenced(shared, server.entry.id, decoded)) {
                    return;
                }
            }
            await timers.setTimeout(stopRetryDelay);
        }
    }

    /** Tells a filler at which share it may work; an order without an answer is repeated with the next list. */
    async pace(server: session.ServerSession, run: session.ActiveRun, percent: number): Promise<void> {
        const { shared } = this.options;
        const before = run.pace;
        run.pace = percent;
        const call = platform.serverCalls.createPace(server.entry.id, {
            task: { jobId: run.entry.id, ...run.position },
            run: run.number,
            percent,
            fencingToken: shared.epoch,
        });
        const answer = await shared.calls.send(server.entry.address, call, context.orderTimeout);
        if (answer.isErr() || platform.serverCalls.decodeOrder(answer.value).kind !== "done") {
            run.pace = before;
            shared.log.warn("pace-unanswered", { server: server.entry.id, step: run.stepKey, percent });
        }
    }

    /** Takes in what a server lists; `sentAt` is when it was asked, on the steady clock. */
    takeLists(
        server: session.ServerSession,
        lists: Extract<platform.serverCalls.HoldAnswer, { readonly kind: "lists"; }>,
        sentAt: number,
    ): void {
        const seen = new Set<string>();
        for (const row of lists.running) {
            const name = nameRun(row.task, row.run);
            seen.add(name);
            this.#takeRunning(server, name, row);
        }
        for (const row of lists.ended) {
            seen.add(nameRun(row.task, row.run));
            if (row.number > server.takenIn) {
                server.takenIn = row.number;
                this.#takeEnd(server, row);
            }
        }
        for (const [name, run] of server.runs) {
            if (run.listableFrom !== undefined && run.listableFrom < sentAt && !seen.has(name)) {
                this.#end(server, run, jobState.RunEnd.lost, "");
            }
            else if (run.server !== server.boot && run.phase === session.RunPhase.inherited) {
                this.#end(server, run, jobState.RunEnd.lost, "");
            }
        }
    }

    /** Nothing that ran there runs any more. */
    endAll(server: session.ServerSession, how: jobState.RunEnd): void {
        for (const run of [...server.runs.values()]) {
            if (run.phase === session.RunPhase.planned) {
                this.#drop(server, run, "server gone");
            }
            else {
                this.#end(server, run, how, "");
            }
        }
    }

    #takeRunning(server: session.ServerSession, name: string, row: platform.serverCalls.RunningTask): void {
        let run = server.runs.get(name);
        if (run === undefined) {
            run = this.#adopt(server, row);
            if (run === undefined) {
                return;
            }
        }
        run.listableFrom ??= run.phase === session.RunPhase.stopping ? undefined : this.options.shared.clock.steady();
        if (run.phase === session.RunPhase.inherited || run.phase === session.RunPhase.ordered) {
            run.phase = session.RunPhase.running;
            run.listableFrom = this.options.shared.clock.steady();
        }
        run.checkpoint = row.checkpoint === "" ? run.checkpoint : row.checkpoint;
        if (run.percent !== row.percent) {
            run.percent = row.percent;
            run.percentChangedAt = this.options.shared.clock.steady();
        }
        run.usage = row.usage;
    }

    /** A run that nobody here knows: it is kept when its task still needs it, else stopped. */
    #adopt(server: session.ServerSession, row: platform.serverCalls.RunningTask): session.ActiveRun | undefined {
        const active = this.options.board.active.get(row.task.jobId);
        const step = active?.job.steps[row.task.step];
        if (active === undefined || step === undefined || row.task.index >= step.taskCount) {
            this.#stopUnknown(server, row);
            return undefined;
        }
        const task = jobState.findFirstTask(active.job, row.task.step) + row.task.index;
        const occurrence = jobState.findOccurrence(active.progress, active.job, row.task.occurrence);
        const history = jobState.findHistory(occurrence, task);
        if (occurrence.done[task] === 1 || history.runs.length > 0 || active.entry.cancelledAt !== undefined) {
            this.#stopUnknown(server, row);
            return undefined;
        }
        history.lastRun = Math.max(history.lastRun, row.run);
        history.runs.push({ number: row.run, server: server.boot });
        active.readiness = undefined;
        this.inherit(active, row.task.occurrence, task, { number: row.run, server: server.boot }, server);
        this.options.shared.writer.mark(active.entry);
        return server.runs.get(nameRun(row.task, row.run));
    }

    #stopUnknown(server: session.ServerSession, row: platform.serverCalls.RunningTask): void {
        const { shared } = this.options;
        shared.log.warn("unknown-run-stopped", { task: nameRun(row.task, row.run), server: server.entry.id });
        const call = platform.serverCalls.createStop(server.entry.id, {
            task: row.task,
            run: row.run,
            fencingToken: shared.epoch,
        });
        void shared.calls.send(server.entry.address, call, context.orderTimeout);
    }

    #takeEnd(server: session.ServerSession, row: platform.serverCalls.EndedTask): void {
        const run = server.runs.get(nameRun(row.task, row.run));
        if (run !== undefined) {
            this.#end(server, run, row.how, row.checkpoint);
            return;
        }
        const active = this.options.board.active.get(row.task.jobId);
        const step = active?.job.steps[row.task.step];
        if (active !== undefined && step !== undefined && row.how === jobState.RunEnd.done && !step.longRunning) {
            const task = jobState.findFirstTask(active.job, row.task.step) + row.task.index;
            this.#markDone(active, row.task.occurrence, task, step);
        }
    }

    /** A run is over, or never was; what follows depends on how. */
    #end(server: session.ServerSession, run: session.ActiveRun, how: jobState.RunEnd, checkpoint: string): void {
        const { board, shared } = this.options;
        this.#forget(server, run);
        const active = board.active.get(run.entry.id);
        if (active === undefined) {
            return;
        }
        const occurrence = jobState.findOccurrence(active.progress, active.job, run.position.occurrence);
        const history = jobState.findHistory(occurrence, run.task);
        if (run.step.checkpointed) {
            history.checkpoint = checkpoint !== "" ? checkpoint : run.checkpoint;
        }
        if (how === jobState.RunEnd.done && !run.step.longRunning) {
            if (run.timed) {
                board.noteTime(active, run.position.step, shared.clock.steady() - run.orderedAt);
            }
            this.#markDone(active, run.position.occurrence, run.task, run.step);
        }
        else if (how === jobState.RunEnd.failed) {
            this.#countFailure(active, run, history, server);
        }
        if (how !== jobState.RunEnd.done) {
            shared.log.info("run-ended", {
                task: run.name,
                server: server.entry.id,
                how,
                failures: history.failures,
                after: Math.round(shared.clock.steady() - run.orderedAt),
            });
        }
        this.options.onEnd(server, run, how);
        active.readiness = undefined;
        shared.writer.mark(active.entry);
        this.settle(active);
        shared.wake();
    }

    #countFailure(
        active: jobBoard.ActiveJob,
        run: session.ActiveRun,
        history: jobState.TaskHistory,
        server: session.ServerSession,
    ): void {
        history.failures += 1;
        active.avoided.add(server.entry.id);
        if (!run.step.longRunning && history.failures >= active.route.maxAttempts) {
            this.#setStatus(active, jobState.JobStatus.failed);
        }
    }

    #markDone(active: jobBoard.ActiveJob, number: number, task: number, step: jobState.Step): void {
        const occurrence = jobState.findOccurrence(active.progress, active.job, number);
        const first = jobState.findFirstTask(active.job, active.job.steps.indexOf(step));
        const tasks = step.gang ? Array.from({ length: step.taskCount }, (_, i) => first + i) : [task];
        tasks.forEach(one => jobState.markDone(occurrence, one));
        active.readiness = undefined;
        if (jobState.isComplete(active.progress, active.job)) {
            this.#setStatus(active, jobState.JobStatus.completed);
        }
        this.options.shared.writer.mark(active.entry);
    }

    #setStatus(active: jobBoard.ActiveJob, status: jobState.JobStatus): void {
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
        shared.writer.mark(active.entry);
    }

    /** Stops what a cancelled or settled job still runs; takes the job off the board when nothing is left. */
    settle(active: jobBoard.ActiveJob): void {
        if (active.entry.cancelledAt !== undefined && !jobState.isSettled(active.progress.status)) {
            this.#setStatus(active, jobState.JobStatus.cancelled);
        }
        if (!jobState.isSettled(active.progress.status)) {
            return;
        }
        if (!jobState.hasRuns(active.progress)) {
            this.options.board.remove(active.job.id);
        }
    }

    /** The run was not started and never will be. */
    #drop(server: session.ServerSession, run: session.ActiveRun, reason: string): void {
        this.options.shared.log.info("start-dropped", {
            task: run.name,
            server: server.entry.id,
            reason,
        });
        this.#forget(server, run);
        const active = this.options.board.active.get(run.entry.id);
        if (active !== undefined) {
            active.readiness = undefined;
            this.options.shared.writer.mark(active.entry);
            this.settle(active);
        }
        this.options.shared.wake();
    }

    #forget(server: session.ServerSession, run: session.ActiveRun): void {
        server.runs.delete(run.name);
        scheduling.release(server.load, run.step, run.stepKey);
        const occurrence = run.entry.progress?.occurrences.get(run.position.occurrence);
        const history = occurrence?.histories.get(run.task);
        if (history !== undefined) {
            history.runs = history.runs.filter(one => one.number !== run.number);
        }
    }

    #isCurrent(server: session.ServerSession, run: session.ActiveRun): boolean {
        return server.runs.get(run.name) === run;
    }
}

export function nameStep(jobId: string, position: { readonly occurrence: number; readonly step: number; }): string {
    return `${jobId}.${position.occurrence}.${position.step}`;
}
