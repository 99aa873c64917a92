/**
 * The leases that a backend server may hold by the orders that were sent to it, and when they have certainly expired.
 *
 * The end of a lease is a time on the server's clock. To the boot for which it was meant it gives the lease that the coordinator
 * chose. Any later boot may read it as far ahead, and then grants the longest lease. Runs that are known to be on the
 * known boot end with the former; a run whose start may have been carried out by a later boot may go on for the latter.
 */
import * as context from "./context.js";
import type * as serverBoots from "./server-boots.js";
import * as serverClock from "./server-clock.js";

/** Ms after the end of a lease before the runs under it are considered gone. */
const expiryMargin = 250;

export class ServerLeases {
    /** Latest lease end ever sent to the known boot, on the server's clock. */
    #latestEnd = 0;
    /** On the monotonic clock: from then on no order that gives a lease, of those sent so far, arrives any more. */
    #lastArrival = Number.NEGATIVE_INFINITY;
    /**
     * On the server's clock: latest end of a lease that another coordinator's order, or one that was meant for an earlier
     * boot, may have given it.
     */
    otherEnd = 0;
    /**
     * Whether the ledger names a lease that the server's newest boot may hold by an order for an earlier one. Without a clock
     * reading its end isn't known, so it matters until the server has responded.
     */
    bootMayHoldOther = false;

    constructor(private readonly bounds: serverBoots.LeaseBounds, private readonly termStartedAt: number) {}

    get latestEnd(): number {
        return this.#latestEnd;
    }

    /**
     * @param end on the clock of the known boot
     * @param now on the monotonic clock
     */
    recordOrder(end: number, now: number): void {
        this.#latestEnd = Math.max(this.#latestEnd, end);
        this.recordArrival(now + context.serverCallTimeout);
    }

    /**
     * An order that gives a lease got no response, and its connection was closed.
     *
     * @param now on the monotonic clock
     */
    recordArrival(now: number): void {
        this.#lastArrival = Math.max(this.#lastArrival, now);
    }

    recordReboot(): void {
        this.#latestEnd = 0;
        this.otherEnd = 0;
    }

    /** On the monotonic clock: when the known boot's lease has certainly expired, if no further one is granted. */
    computeExpiry({ server, received }: serverClock.ClockSample): number {
        const left = Math.max(0, this.#latestEnd - server, this.otherEnd - server);
        return received + left / serverClock.minClockRate + expiryMargin;
    }

    /** The same for a later boot, which no list has shown, by the orders that were meant for the known one. */
    computeNextBootExpiry(): number {
        return this.#lastArrival + this.bounds.maxLease / serverClock.minClockRate + expiryMargin;
    }

    /**
     * The same before this coordinator's first list of the server: an earlier coordinator may have given a lease until one
     * lease duration after this one's term began.
     *
     * @param mayHoldLongest whether an order may have reached a boot for which it wasn't meant: the longest lease counts from
     * its arrival, an ordinary one ends at a time that was set when it was sent
     */
    computeInheritedExpiry(mayHoldLongest: boolean): number {
        const last = mayHoldLongest ? context.serverCallTimeout + this.bounds.maxLease : this.bounds.lease;
        return this.termStartedAt + (this.bounds.lease + last) / serverClock.minClockRate + expiryMargin;
    }

    /** What the expiry is computed from, for the log: in ms, the time since the last list and what was left at it. */
    describe({ server, received }: serverClock.ClockSample, now: number): object {
        return {
            sinceAnswer: Math.round(now - received),
            left: Math.round(this.#latestEnd - server),
            leftOfOthers: Math.round(this.otherEnd - server),
            sinceArrival: Math.round(now - this.#lastArrival),
        };
    }
}
