/**
 * The coordinator's view of one backend server: its boot, clock, lease and runs.
 */
import type * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as serverBoots from "./server-boots.js";

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
    /** Server and boot on which the run was started, see `formatBootId`. */
    readonly bootId: string;
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
    /**
     * On the server's clock: when it confirmed the start or, as seen by this coordinator, first listed the run;
     * `undefined` before that, as a start without an answer may be carried out seconds later.
     */
    startClock: number | undefined;
    /** A later boot of the server than the known one confirmed the start: it wasn't under way when the known one ended. */
    startedOnNextBoot: boolean;
    /** An earlier coordinator saw that the server outlasted the start. */
    readonly outlastedStart: boolean;
    /** This coordinator started it without a checkpoint, so the time to its end is the duration of the task. */
    readonly measuresDuration: boolean;
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
}

/** Lowest rate at which a server's clock may run, relative to this process's clock. */
const minClockRate = 0.98;
/** Ms after the end of a lease before the runs under it are considered gone. */
const leaseExpiryMargin = 250;

export class ServerSession {
    readonly runs = new Map<string, ActiveRun>();
    /** Boot time that the server reported; `undefined` until it has responded. */
    bootedAt: number | undefined;
    /** Last reading of the server's clock, and when it was received on the monotonic clock. */
    clockSample: { readonly server: number; readonly received: number; } | undefined;
    /** Latest reading of the server's clock in a response of this boot: the server was up then. */
    lastClock = 0;
    /** Reading of the server's clock in its newest list; 0 before the first. */
    #listClock = 0;
    /**
     * On the server's clock: by then, whatever earlier coordinators ordered has taken effect. `undefined` before the
     * server's first list, since when it refuses their orders.
     */
    #earlierOrdersDoneAt: number | undefined;
    /**
     * On the monotonic clock: when a response was read that another boot than the known one gave; `undefined` if no list has
     * to tell which.
     */
    #anotherBootSeenAt: number | undefined;
    /** Latest lease end ever sent to the server, on the server's clock. */
    latestLeaseEnd = 0;
    /**
     * On the server's clock: latest end of a lease that another coordinator's order, or one that was meant for an earlier
     * boot, may have given it.
     */
    otherLeaseEnd = 0;
    /**
     * Whether the ledger names a lease that the server's newest boot may hold by an order for an earlier one. Without a clock
     * reading its end isn't known, so it matters until the server has responded.
     */
    bootMayHoldOtherLease = false;
    /** Replaced when the server reboots: what belongs to the boot before must not be taken for the new one's. */
    ends = createEndProgress();
    /** Set when the server lists its runs, cleared when a poll fails or another server responds. */
    reachable = false;
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
    /** On the monotonic clock: when the server was last found unreachable or rebooted; `undefined` if never. */
    lostAt: number | undefined;
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
        private readonly leases: serverBoots.LeaseBounds,
    ) {
        this.lastAnswerAt = termStartedAt;
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

    /** Runs that may be under way on the server, with the time for which it was seen up since their start. */
    listStartedRuns(): StartedRun[] {
        return [...this.runs.values()]
            .filter(run => run.phase !== RunPhase.planned)
            .map(run => ({ run, jobId: run.entry.id, provenTime: this.computeProvenTime(run) }));
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
        const proven = run.startClock === undefined ? 0 : Math.round(this.lastClock - run.startClock);
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
        if (this.#anotherBootSeenAt !== undefined && sentAt >= this.#anotherBootSeenAt) {
            this.#anotherBootSeenAt = undefined;
        }
        this.clockSample = { server: clock, received: now };
        this.lastClock = Math.max(this.lastClock, clock);
        this.lastAnswerAt = now;
        this.#listClock = clock;
        this.#earlierOrdersDoneAt ??= clock + stopTime;
    }

    /**
     * Records the reading of the server's clock in a response to an order.
     *
     * @param earliest `lastClock` when the order was sent; a lower reading is of a later boot, whose clock began anew
     * @param now on the monotonic clock
     * @returns whether the known boot gave the response
     */
    recordClock(clock: number, earliest: number, now: number): boolean {
        if (clock < earliest) {
            this.#anotherBootSeenAt = now;
            return false;
        }
        this.lastClock = Math.max(this.lastClock, clock);
        return true;
    }

    /** Whether ends of the known boot may be acknowledged; another boot would take their numbers for its own ends'. */
    get mayAcknowledge(): boolean {
        return this.reachable && this.#anotherBootSeenAt === undefined;
    }

    /** Forgets what belongs to the boot before, but for the runs and `lastClock`, by which these are judged. */
    recordReboot(): void {
        this.clockSample = undefined;
        this.latestLeaseEnd = 0;
        this.otherLeaseEnd = 0;
        this.ends = createEndProgress();
        this.#earlierOrdersDoneAt = undefined;
    }

    /**
     * Whether a start may have reached a boot of which earlier coordinators didn't know. Of one that its server has outlasted
     * they had a confirmation.
     */
    #mayHoldOtherLease(): boolean {
        return this.bootMayHoldOtherLease || [...this.runs.values()].some(run => !run.outlastedStart);
    }

    get bootId(): string {
        return formatBootId(this.entry.id, this.bootedAt);
    }

    /** Estimate of the server's clock at `now`, on the monotonic clock; `undefined` before the first response. */
    estimateClock(now: number): number | undefined {
        return this.clockSample === undefined ? undefined : this.clockSample.server + now - this.clockSample.received;
    }

    /**
     * What is known of the server's boot, for the log: the boot that it listed and the one that it registered, the time in ms
     * since its last list, and what its clock should read.
     */
    describeContact(now: number): object {
        const clock = this.estimateClock(now);
        return {
            server: this.entry.id,
            boot: this.bootedAt,
            registeredBoot: this.entry.bootedAt,
            reachable: this.reachable,
            sinceAnswer: Math.round(now - this.lastAnswerAt),
            expectedClock: clock === undefined ? undefined : Math.round(clock),
        };
    }

    /**
     * What the expiry of the lease is computed from, for the log. In ms: time up to `now`, on the monotonic clock, since the
     * last list or, before the first one, since the term began; lease that was left at the last list.
     */
    describeLease(now: number): object {
        const { clockSample, termStartedAt } = this;
        return clockSample === undefined
            ? { sinceTermStart: Math.round(now - termStartedAt) }
            : {
                sinceAnswer: Math.round(now - clockSample.received),
                left: Math.round(this.latestLeaseEnd - clockSample.server),
                leftOfOthers: Math.round(this.otherLeaseEnd - clockSample.server),
            };
    }

    /** On the monotonic clock: when all runs have certainly lost their lease, if no further lease is granted. */
    computeLeaseExpiry(): number {
        if (this.clockSample === undefined) {
            // An earlier coordinator may have given a lease until one lease duration after this one's term began.
            const last = this.#mayHoldOtherLease() ? this.leases.maxLease : this.leases.lease;
            return this.termStartedAt + (this.leases.lease + last) / minClockRate + leaseExpiryMargin;
        }
        const { server, received } = this.clockSample;
        const left = Math.max(0, this.latestLeaseEnd - server, this.otherLeaseEnd - server);
        return received + left / minClockRate + leaseExpiryMargin;
    }
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
