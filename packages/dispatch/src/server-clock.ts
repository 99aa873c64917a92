/**
 * The clock of a backend server as its responses show it, and whether they show that another boot of the server responds.
 *
 * Each boot starts its clock at an arbitrary value. Only a list of runs names the boot that it comes from; every other response
 * has just a clock reading, and one that the known boot can't have given is of another boot. Until a list that was requested
 * after such a sign tells which boot is up, the server is in doubt.
 */

/** Lowest rate at which a server's clock may run, relative to this process's clock. */
export const minClockRate = 0.98;
/** Longest time in ms since its last response for which a server counts as up. */
const maxResponseAge = 100;
/** Readings are in whole ms. */
const readingPrecision = 1;

/** A reading of the server's clock, and when it was received on the monotonic clock. */
export interface ClockSample {
    readonly server: number;
    readonly received: number;
}

export class ServerClock {
    /** Reading in the last list; `undefined` before the first one of a boot. */
    sample: ClockSample | undefined;
    /** Latest reading of this boot: the server was up then. */
    latest = 0;
    /** On the monotonic clock: when the known boot last responded; `undefined` before that. */
    respondedAt: number | undefined;
    /**
     * On the monotonic clock: when the first call since then was sent that the server should have answered at once, and didn't;
     * `undefined` if there is none.
     */
    unansweredAt: number | undefined;
    /** On the monotonic clock: when something last showed that the server may be down or in another boot. */
    #doubtedAt: number | undefined;

    /** @param maxLead time in ms by which the known boot's clock may read more than estimated, as its last list was delayed */
    constructor(private readonly maxLead: number) {}

    /** Estimate of the server's clock at `now`, on the monotonic clock; `undefined` before the first list. */
    estimate(now: number): number | undefined {
        return this.sample === undefined ? undefined : this.sample.server + now - this.sample.received;
    }

    /** Lowest reading that the known boot can give in a response to a call sent at `now`, on the monotonic clock. */
    computeEarliestReading(now: number): number {
        const { sample } = this;
        const elapsed = sample === undefined ? 0 : sample.server + (now - sample.received) * minClockRate;
        return Math.max(this.latest, elapsed - readingPrecision);
    }

    /**
     * @param now when the list was received, on the monotonic clock
     * @param sentAt when it was requested, on the monotonic clock
     */
    recordList(reading: number, now: number, sentAt: number): void {
        if (this.#doubtedAt !== undefined && sentAt >= this.#doubtedAt) {
            this.#doubtedAt = undefined;
        }
        this.sample = { server: reading, received: now };
        this.recordLatest(reading, now);
    }

    /**
     * Records the reading in a response to an order, unless the known boot can't have given it.
     *
     * @param earliest `computeEarliestReading` when the order was sent
     * @param now on the monotonic clock
     * @returns whether the known boot may have given the response
     */
    recordReading(reading: number, earliest: number, now: number): boolean {
        const estimate = this.estimate(now);
        if (reading < earliest || estimate !== undefined && reading > estimate + this.maxLead) {
            return false;
        }
        this.recordLatest(reading, now);
        return true;
    }

    /** Records the reading in a response of the known boot, received at `now` on the monotonic clock. */
    recordLatest(reading: number, now: number): void {
        this.latest = Math.max(this.latest, reading);
        this.respondedAt = now;
        this.unansweredAt = undefined;
    }

    /** Whether the known boot has responded so shortly before `now`, on the monotonic clock, that it counts as up. */
    hasJustResponded(now: number): boolean {
        return this.respondedAt !== undefined && now - this.respondedAt <= maxResponseAge;
    }

    /** A call sent at `sentAt`, on the monotonic clock, which the server should have answered at once, got no response. */
    recordUnanswered(sentAt: number): void {
        if (this.respondedAt === undefined || sentAt > this.respondedAt) {
            this.unansweredAt = Math.min(sentAt, this.unansweredAt ?? sentAt);
        }
    }

    /** Only a list that is requested from `now` on, on the monotonic clock, tells again which boot is up. */
    doubt(now: number): void {
        this.#doubtedAt = now;
    }

    get isInDoubt(): boolean {
        return this.#doubtedAt !== undefined;
    }

    /** Another boot has listed its runs. `latest` stays until the runs of the boot before have been judged by it. */
    recordReboot(): void {
        this.sample = undefined;
        this.unansweredAt = undefined;
    }
}
