/**
 * The coordinator's view of one backend server: its boot, clock, lease and runs.
 */
import type * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as context from "./context.js";
import type * as serverBoots from "./server-boots.js";
import * as serverClock from "./server-clock.js";
import * as serverFence from "./server-fence.js";
import * as serverLeases from "./server-leases.js";

/** State of a run as its coordinator knows it. */
export const RunPhase = {
    /** Its intent is being stored; the start hasn't been sent. */
    planned: "planned",
    /** The start was sent. */
    ordered: "ordered",
    /** The server confirmed the start or listed the run. */
    running: "running",
    /** The start got no response: the server may run it, or may still receive it. */
    uncertain: "uncertain",
    /** Taken over; not yet seen by this coordinator in the server's list. */
    inherited: "inherited",
    /** A stop is being sent, or was sent and the run's end isn't known yet. */
    stopping: "stopping",
} as const;
export type RunPhase = (typeof RunPhase)[keyof typeof RunPhase];

/** How the start of a run is known, for the log. */
export const StartEvidence = {
    /** This coordinator sent it, and knows of no response. */
    none: "no response",
    /** The server confirmed it. */
    confirmed: "confirmed",
    /** A list of the server has shown the run. */
    listed: "listed",
    /** An earlier coordinator may have sent it, and this one knows nothing of it yet. */
    inherited: "inherited",
} as const;
export type StartEvidence = (typeof StartEvidence)[keyof typeof StartEvidence];

export interface ActiveRun {
    readonly entry: jobState.JobEntry;
    readonly position: jobState.TaskPosition;
    /** Index of the task over all steps. */
    readonly taskIndex: number;
    readonly step: jobState.Step;
    /** See `formatStepKey`. */
    readonly stepKey: string;
    /** Identifies the run by its task and number. */
    readonly name: string;
    readonly runNumber: number;
    /** Server and boot that listed the run or, before that, for which its start was meant; see `formatBootId`. */
    bootId: string;
    phase: RunPhase;
    /**
     * On the monotonic clock: complete lists requested after this time that omit the run prove that it isn't on the
     * server. `undefined` while the server may still receive the start, or hasn't confirmed the stop.
     */
    expectedInListsFrom: number | undefined;
    /** On the monotonic clock: when the task was placed, or the run was taken over. */
    readonly plannedAt: number;
    /** On the monotonic clock: when the start was sent, or the run was taken over. */
    startSentAt: number;
    /** On the monotonic clock: when the start was last sent, `undefined` if not by this coordinator. */
    startLastSentAt: number | undefined;
    /** Fencing token with which it was last sent; `undefined` if not by this coordinator. */
    startToken: number | undefined;
    /**
     * On the server's clock: when it confirmed the start or, as seen by this coordinator, first listed the run;
     * `undefined` before that, as a start without an answer may be carried out seconds later.
     */
    startClock: number | undefined;
    startEvidence: StartEvidence;
    /** Each time that its start was sent without getting a response, the connection could reach no boot but the known one. */
    reachesKnownBootOnly: boolean;
    /** Another boot of the server than the known one confirmed the start, and no list has shown the run since. */
    startedOnNextBoot: boolean;
    /** An earlier coordinator saw that the server outlasted the start. */
    readonly outlastedStart: boolean;
    /** This coordinator started it without a checkpoint, so the time to its end is the duration of the task. */
    measuresDuration: boolean;
    checkpoint: string;
    /**
     * From the server's last list: percentage of the work done, or for a long-running task of availability; 100 is
     * available.
     */
    percent: number;
    /** On the monotonic clock: when `percent` was last seen to change. */
    percentChangedAt: number;
    /** From the server's last list: tail of the response times in ms of a serving task, else millicores in use. */
    usage: number | undefined;
    /** No other task may start on its server until it has outlasted its start. */
    readonly startsAlone: boolean;
    /**
     * The server has got the start, as far as is known: an earlier coordinator saw so, or it starts alone, so it was last sent
     * right after a response of the server, and no list has shown that it wasn't carried out.
     */
    isStartCertain: boolean;
    /** Percentage of its full pace at which a filler was told to work. */
    pace: number;
    /** Ticket for the start; `undefined` if the queue's route requires none. */
    readonly ticket: string | undefined;
}

/** How far the run ends of one boot of a server, which it numbers from 1, have been handled. */
export interface EndProgress {
    /** Number of the last end that was applied. */
    lastProcessed: number;
    /** Number of the last end that is stored; sent to the server as the acknowledgement. */
    lastStored: number;
    /** Number of the last end whose acknowledgement the server has received. */
    lastAcknowledged: number;
}

export function createEndProgress(): EndProgress {
    return { lastProcessed: 0, lastStored: 0, lastAcknowledged: 0 };
}

/** A run that was under way on a server that crashed. */
export interface StartedRun extends scheduling.CrashedRun {
    readonly run: ActiveRun;
    /** The server had certainly got its start. */
    readonly isCertain: boolean;
    /** As it was when the loss was noticed. */
    readonly phase: RunPhase;
    /** On the monotonic clock: by when the server had been lost; `undefined` if it wasn't noticed before its crash. */
    readonly lostAt: number | undefined;
    /** On the monotonic clock: when the server last listed its runs. */
    readonly listedAt: number;
}

export class ServerSession {
    readonly runs = new Map<string, ActiveRun>();
    /** Boot time that the server reported; `undefined` until it has responded. */
    bootedAt: number | undefined;
    readonly clock: serverClock.ServerClock;
    readonly fence: serverFence.ServerFence;
    readonly leases: serverLeases.ServerLeases;
    /** Reading of the server's clock in its newest list; 0 before the first. */
    #listClock = 0;
    /**
     * On the server's clock: by then, whatever earlier coordinators ordered has taken effect. `undefined` before the
     * server's first list, since when it refuses their orders.
     */
    #earlierOrdersDoneAt: number | undefined;
    /** Replaced when the server reboots: what belongs to the boot before must not be taken for the new one's. */
    ends = createEndProgress();
    /** Set when the server lists its runs, cleared when a poll fails or another server responds. */
    reachable = false;
    /** Ends the wait for the response to the poll under way; `undefined` if none waits. */
    interruptPoll: (() => void) | undefined;
    /** On the monotonic clock: when the server last responded, at first when the session was created. */
    lastAnswerAt: number;
    /** Whether the server is missing from the servers' topic. */
    unlisted = false;
    closed = false;
    /** On the monotonic clock: the server gets no starts before this time. */
    backoffUntil = 0;
    /**
     * On the monotonic clock: a task that starts alone may crash the server until then. `undefined` once the server
     * has been asked after that time whether it is up; before, no other task starts there.
     */
    startingAloneUntil: number | undefined;
    /** The server is being asked that. */
    confirmingLoneStart = false;
    /** Since when the server is lost; `undefined` while it lists its runs. */
    outage: scheduling.Outage | undefined;
    /** On the monotonic clock: a list of machines shows that the known boot was gone then; `undefined` if none does. */
    goneAt: number | undefined;
    readonly health = new scheduling.ServerHealth();
    /** Gets no new tasks because an order to maintain or move its machine is planned or in flight. */
    reservedForOrder = false;
    /**
     * Gets no new tasks because its pool no longer needs it: its machine can move once empty, unless a later plan keeps
     * it.
     */
    releasedByPool = false;

    constructor(
        public entry: platform.operatorRecords.ServerRegistration,
        readonly load: scheduling.ServerLoad,
        private readonly termStartedAt: number,
        bounds: serverBoots.LeaseBounds,
        tokens: serverFence.TermTokens,
    ) {
        this.lastAnswerAt = termStartedAt;
        this.fence = new serverFence.ServerFence(tokens);
        this.clock = new serverClock.ServerClock(context.serverCallTimeout);
        this.leases = new serverLeases.ServerLeases(bounds, termStartedAt);
    }

    /** Ms from `now`, on the monotonic clock, until all runs should have ended; infinite with long-running tasks. */
    estimateBusyTime(now: number): number {
        let busy = 0;
        for (const run of this.runs.values()) {
            const left = run.step.longRunning ? Number.POSITIVE_INFINITY : run.startSentAt + run.step.estimate - now;
            busy = Math.max(busy, left);
        }
        return busy;
    }

    hasFillers(): boolean {
        for (const run of this.runs.values()) {
            if (run.step.filler) {
                return true;
            }
        }
        return false;
    }

    /**
     * Runs without progress on a reachable server. Long-running and gang tasks are left out, and fillers, which may
     * have been paced down to a standstill.
     */
    listStalled(): ActiveRun[] {
        return this.reachable ? [...this.runs.values()].filter(run => this.#isStalled(run)) : [];
    }

    #isStalled(run: ActiveRun): boolean {
        const isOrdinary = !run.step.longRunning && !run.step.gang && !run.step.filler;
        const sample = { percent: run.percent, changedAt: run.percentChangedAt };
        return isOrdinary && run.phase === RunPhase.running && scheduling.isStalled(sample, this.lastAnswerAt);
    }

    /** Those of the runs that may be under way on the server, with the time for which it was seen up since their start. */
    describeStartedRuns(runs: Iterable<ActiveRun>): StartedRun[] {
        return [...runs]
            .filter(run => run.phase !== RunPhase.planned)
            .map(run => ({
                run,
                provenTime: this.computeProvenTime(run),
                isCertain: run.isStartCertain || run.startClock !== undefined && !run.startedOnNextBoot,
                phase: run.phase,
                lostAt: this.outage?.lostBy,
                listedAt: this.lastAnswerAt,
            }));
    }

    /** Whether a task that starts alone may have crashed the server, as far as it was seen up since. */
    hasLoneStart(): boolean {
        return this.describeStartedRuns(this.runs.values()).some(started =>
            started.run.startsAlone && started.isCertain && scheduling.isCrashSuspect(started)
        );
    }

    /** Number of runs that were started, or are to be, so short a time before `now` that they may crash the server. */
    countStartingRuns(now: number): number {
        let count = 0;
        for (const run of this.runs.values()) {
            count += now - run.startSentAt < scheduling.startupPeriod ? 1 : 0;
        }
        return count;
    }

    /** Ms for which the server is known to have been up since the run's start; 0 if nothing is known of the start. */
    computeProvenTime(run: ActiveRun): number {
        const proven = run.startClock === undefined ? 0 : Math.round(this.clock.latest - run.startClock);
        return Math.max(run.outlastedStart ? scheduling.startupPeriod : 0, proven);
    }

    /** Whether the registration isn't known to be of another boot, whose capacity and labels may differ. */
    isRegistrationCurrent(): boolean {
        return this.entry.bootedAt === undefined || this.bootedAt === undefined
            || this.entry.bootedAt === this.bootedAt;
    }

    /** Whether the newest list shows what earlier coordinators' orders have done. */
    get showsEarlierOrders(): boolean {
        return this.#earlierOrdersDoneAt !== undefined && this.#listClock >= this.#earlierOrdersDoneAt;
    }

    /**
     * Records that the server listed its runs.
     *
     * @param clock reading of the server's clock
     * @param now on the monotonic clock
     * @param stopTime longest time in ms from an order to stop a run until it has ended
     * @param sentAt on the monotonic clock: when the list was requested
     */
    recordList(clock: number, now: number, stopTime: number, sentAt = now): void {
        this.clock.recordList(clock, now, sentAt);
        this.lastAnswerAt = now;
        this.#listClock = clock;
        this.#earlierOrdersDoneAt ??= clock + stopTime;
    }

    /**
     * Records the reading of the server's clock in a response to an order, and asks the server for a list if the known boot
     * can't have given it.
     *
     * @param earliest `computeEarliestReading` of the clock when the order was sent
     * @param now on the monotonic clock
     * @returns whether the known boot may have given the response
     */
    recordReading(reading: number, earliest: number, now: number): boolean {
        const isKnownBoot = this.clock.recordReading(reading, earliest, now);
        if (!isKnownBoot) {
            this.doubtBoot(now);
        }
        return isKnownBoot;
    }

    /**
     * The server may be down, or in another boot than the known one, at `now` on the monotonic clock: until it has listed its
     * runs again it gets no lease, no start and no acknowledgement. That list settles all calls that were sent before.
     */
    doubtBoot(now: number): void {
        this.clock.doubt(now);
        this.fence.raise();
        this.interruptPoll?.();
    }

    /**
     * Handles a refusal of a call because the server has got a higher fencing token: if this coordinator didn't send that one,
     * only a newer one can have, so this one steps down. Returns whether the call was refused so.
     *
     * @param token with which the call was sent
     */
    handleFencing(
        shared: Pick<context.CoordinatorContext, "stepDown">,
        answer: platform.serverCalls.OrderResult | platform.serverCalls.LeaseRenewalResult,
        token: number,
    ): boolean {
        const isFenced = answer.kind === "refused" && answer.reason === platform.serverCalls.Refusal.fenced;
        if (isFenced && !this.fence.isOwn(token)) {
            shared.stepDown(`server ${this.entry.id} has seen a higher fencing token`);
        }
        return isFenced;
    }

    /** Whether ends of the known boot may be acknowledged; another boot would take their numbers for its own ends'. */
    get mayAcknowledge(): boolean {
        return this.reachable && !this.clock.isInDoubt;
    }

    /** Forgets what belongs to the boot before, but for the runs and the latest reading, by which these are judged. */
    recordReboot(): void {
        this.clock.recordReboot();
        this.leases.recordReboot();
        this.ends = createEndProgress();
        this.#earlierOrdersDoneAt = undefined;
    }

    /**
     * Whether a start may have reached a boot of which earlier coordinators didn't know. Of one that its server has outlasted
     * they had a confirmation.
     */
    #mayHoldOtherLease(): boolean {
        return this.leases.bootMayHoldOther || [...this.runs.values()].some(run => !run.outlastedStart);
    }

    /**
     * Whether the start of the run may be sent now: the server has the same boot, as far as is known, and isn't draining. One that
     * isn't listed may still run the task, and if it is gone the run ends with its lease.
     */
    mayStart(run: ActiveRun): boolean {
        return run.bootId === this.bootId && !this.clock.isInDoubt && !this.entry.draining;
    }

    get bootId(): string {
        return formatBootId(this.entry.id, this.bootedAt);
    }

    /**
     * What is known of the server's boot, for the log: the boot that it listed and the one that it registered, the time in ms
     * since its last list, and what its clock should read.
     */
    describeContact(now: number): object {
        const clock = this.clock.estimate(now);
        return {
            server: this.entry.id,
            boot: this.bootedAt,
            registeredBoot: this.entry.bootedAt,
            reachable: this.reachable,
            inDoubt: this.clock.isInDoubt,
            sinceAnswer: Math.round(now - this.lastAnswerAt),
            expectedClock: clock === undefined ? undefined : Math.round(clock),
        };
    }

    /**
     * What the expiry of the lease is computed from, for the log: in ms, the time up to `now`, on the monotonic clock, since
     * the last list and what was left at it or, before the first list, the time since the term began.
     */
    describeLease(now: number): object {
        const { sample } = this.clock;
        return sample === undefined
            ? { sinceTermStart: Math.round(now - this.termStartedAt) }
            : this.leases.describe(sample, now);
    }

    /** Runs whose lease has certainly expired at `now`, on the monotonic clock, if no further lease is granted. */
    listLapsedRuns(now: number): ActiveRun[] {
        const { sample } = this.clock;
        if (sample === undefined) {
            return now >= this.leases.computeInheritedExpiry(this.#mayHoldOtherLease()) ? [...this.runs.values()] : [];
        }
        const expiry = this.leases.computeExpiry(sample);
        const nextBootExpiry = Math.max(expiry, this.leases.computeNextBootExpiry());
        return [...this.runs.values()].filter(run => now >= (mayBeOnNextBoot(run) ? nextBootExpiry : expiry));
    }
}

/**
 * Whether the start may be carried out after `time`, on the monotonic clock, and so by a later boot than one that had ended
 * by then.
 */
export function mayStartAfter(run: ActiveRun, time: number): boolean {
    return mayBeOnNextBoot(run) && run.startLastSentAt !== undefined
        && run.startLastSentAt + context.serverCallTimeout >= time;
}

/** Whether the start may have been carried out by a later boot of the server than the known one. */
function mayBeOnNextBoot(run: ActiveRun): boolean {
    return run.startClock === undefined && run.phase !== RunPhase.planned
        && (run.startedOnNextBoot || !run.reachesKnownBootOnly);
}

/** Whether the server's list, which was requested with a fencing token, shows what has become of the run's start. */
export function isStartSettled({ startToken }: ActiveRun, listToken: number): boolean {
    return startToken !== undefined && startToken < listToken;
}

/** Identifies one boot of a server: "<server>@<boot time>". */
export function formatBootId(id: string, bootedAt: number | undefined): string {
    return `${id}@${bootedAt ?? 0}`;
}

export function parseServerId(bootId: string): string {
    return bootId.slice(0, bootId.lastIndexOf("@"));
}

/** Boot time of the server; `undefined` if it wasn't known. */
export function parseBootTime(bootId: string): number | undefined {
    const time = Number(bootId.slice(bootId.lastIndexOf("@") + 1));
    return time === 0 ? undefined : time;
}
