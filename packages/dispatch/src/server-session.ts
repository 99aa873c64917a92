/**
 * One backend server as its coordinator sees it: its boot, its clock, its lease, and the runs that are there.
 */
import type * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";

/** Where a run stands, from its coordinator's view. */
export const RunPhase = {
    /** Its intent isn't stored yet; nothing was sent. */
    planned: "planned",
    /** The start was sent. */
    ordered: "ordered",
    /** The server has it. */
    running: "running",
    /** The start got no answer: it may be there, or come later. */
    uncertain: "uncertain",
    /** An earlier coordinator's; the server hasn't been asked yet. */
    inherited: "inherited",
    /** A stop was sent. */
    stopping: "stopping",
} as const;
export type RunPhase = (typeof RunPhase)[keyof typeof RunPhase];

export interface ActiveRun {
    readonly entry: jobState.JobEntry;
    readonly position: jobState.TaskPosition;
    /** Index of the task over all steps. */
    readonly task: number;
    readonly step: jobState.Step;
    readonly stepKey: string;
    /** Task and number of the run. */
    readonly name: string;
    readonly number: number;
    readonly server: string;
    phase: RunPhase;
    /** On the steady clock: from then on a list that doesn't hold the run shows that it isn't there. */
    listableFrom: number | undefined;
    /** On the steady clock: when the start was sent. */
    orderedAt: number;
    /** Started from the beginning by this coordinator, so its end tells how long the task takes. */
    readonly timed: boolean;
    checkpoint: string;
    /** By the server's last list: how much of its work is done, for a long-running task whether it is at work, in percent. */
    percent: number;
    /** On the steady clock: when the percentage was seen to change last. */
    percentChangedAt: number;
    usage: number | undefined;
    /** Share in percent that it was told to work at. */
    pace: number;
    /** Where its queue's policy asks for one. */
    readonly ticket: string | undefined;
}

/** Servers' clocks may run this much slower than ours. */
const slowestClock = 0.98;
/** Ms added to the end of a lease before what ran under it is taken to be gone. */
const lapseMargin = 250;

export class ServerSession {
    readonly runs = new Map<string, ActiveRun>();
    /** Boot, as the server told it; `undefined` until it has answered. */
    bootedAt: number | undefined;
    /** Reading of the server's clock and when the answer with it came, on the steady clock. */
    clockSample: { readonly server: number; readonly received: number; } | undefined;
    /** Latest end of a lease that was ever sent, on the server's clock. */
    leaseEndSent = 0;
    /** Number of the last end that was taken in. */
    takenIn = 0;
    /** Number of the last end whose record is stored. */
    acknowledged = 0;
    /** The last call was answered. */
    reachable = false;
    /** On the steady clock. */
    lastAnswer: number;
    /** It is no longer listed. */
    unlisted = false;
    closed = false;
    /** On the steady clock: no starts before. */
    restUntil = 0;
    readonly health = new scheduling.ServerHealth();
    /** It is to be emptied, for maintenance or a move. */
    reserved = false;
    /** It gets no new tasks, so that another pool can have it when it is empty. */
    released = false;

    constructor(
        public entry: platform.operatorRecords.ServerEntry,
        readonly load: scheduling.ServerLoad,
        private readonly claimedAt: number,
        private readonly leaseTime: number,
    ) {
        this.lastAnswer = claimedAt;
    }

    /** Ms until the tasks that run there should have ended, at `now` on the steady clock; infinite with long-running ones. */
    estimateBusyTime(now: number): number {
        let busy = 0;
        for (const run of this.runs.values()) {
            const left = run.step.longRunning ? Number.POSITIVE_INFINITY : run.orderedAt + run.step.estimate - now;
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

    /** Runs that make no progress, though the server answers. Fillers may have been told to stand still. */
    listStalled(): ActiveRun[] {
        return this.reachable ? [...this.runs.values()].filter(run => this.#isStalled(run)) : [];
    }

    #isStalled(run: ActiveRun): boolean {
        const ordinary = !run.step.longRunning && !run.step.gang && !run.step.filler;
        const sample = { percent: run.percent, changedAt: run.percentChangedAt };
        return ordinary && run.phase === RunPhase.running && scheduling.isStalled(sample, this.lastAnswer);
    }

    get boot(): string {
        return nameBoot(this.entry.id, this.bootedAt);
    }

    /** Estimate of the server's clock at `now` on the steady clock. */
    readClock(now: number): number | undefined {
        return this.clockSample === undefined ? undefined : this.clockSample.server + now - this.clockSample.received;
    }

    /** On the steady clock: when everything there has lost its lease for certain, if nothing more is granted. */
    findLapse(): number {
        if (this.clockSample === undefined) {
            // An earlier coordinator may have granted a lease until just after it was succeeded.
            return this.claimedAt + 2 * this.leaseTime / slowestClock + lapseMargin;
        }
        const left = Math.max(0, this.leaseEndSent - this.clockSample.server);
        return this.clockSample.received + left / slowestClock + lapseMargin;
    }
}

export function nameBoot(id: string, bootedAt: number | undefined): string {
    return `${id}@${bootedAt ?? 0}`;
}

export function parseBootServer(boot: string): string {
    return boot.slice(0, boot.lastIndexOf("@"));
}
