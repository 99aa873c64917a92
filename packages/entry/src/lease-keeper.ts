/**
 * Holds, renews and takes over the coordinator lease in the log.
 *
 * Clocks only decide when to try. Who holds the lease is decided by the fold, which accepts an acquisition only if it
 * saw the newest lease record.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as fleetView from "./fleet-view.js";
import * as metrics from "./metrics.js";
import * as records from "./records.js";

/** Parts of the lease time after which its holder renews it. */
const renewalsInLease = 3;

export interface LeaseParts {
    readonly view: fleetView.FleetView;
    readonly stream: fleetView.RecordStream;
    readonly times: schema.settings.SessionTimes;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
    readonly random: () => number;
    readSession(): string;
}

export class LeaseKeeper {
    readonly #parts: LeaseParts;
    #seenOffset = -1;
    #seenAt = 0;
    #renewedAt = 0;
    /** Delay in ms that keeps the candidates from trying all at once. */
    #jitterMs = 0;

    constructor(parts: LeaseParts) {
        this.#parts = parts;
        this.#seenAt = parts.clock();
        parts.view.listen(() => this.#notice());
    }

    #notice(): void {
        const lease = this.#parts.view.state.lease;
        if (lease.offset !== this.#seenOffset) {
            this.#seenOffset = lease.offset;
            this.#seenAt = this.#parts.clock();
            this.#jitterMs = this.#parts.random() * this.#parts.times.renewMs;
        }
    }

    /** Whether this session holds the lease as far as it has read. */
    get isHeld(): boolean {
        return fleetState.holdsLease(this.#parts.view.state, this.#parts.readSession());
    }

    /** Renews the lease if it is due, or tries to take a lapsed one. `now` is clock time in ms. */
    async tend(now: number): Promise<void> {
        if (this.isHeld) {
            if (now - this.#renewedAt >= this.#parts.times.leaseMs / renewalsInLease) {
                await this.#renew(now);
            }
            return;
        }
        if (isLapsed(this.#parts.view.state.lease, this.#seenAt + this.#jitterMs, this.#parts.times, now)) {
            await this.#acquire(now);
        }
    }

    async #renew(now: number): Promise<void> {
        const session = this.#parts.readSession();
        const record: schema.log.LeaseRenewed = {
            ...records.createHeader(session),
            kind: "lease-renewed",
            session,
            epoch: this.#parts.view.state.lease.epoch,
        };
        this.#renewedAt = now;
        const settled = await this.#propose(record, now);
        if (settled.isOk() && !settled.value.verdict.applied) {
            this.#parts.metrics.count("lease_events", "lost");
        }
    }

    async #acquire(now: number): Promise<void> {
        const session = this.#parts.readSession();
        const record: schema.log.LeaseAcquired = {
            ...records.createHeader(session),
            kind: "lease-acquired",
            session,
            observedOffset: this.#parts.view.state.lease.offset,
        };
        const settled = await this.#propose(record, now);
        if (settled.isOk() && settled.value.verdict.applied) {
            this.#renewedAt = now;
            this.#parts.metrics.count("lease_events", "acquired");
            this.#parts.logger.info(`This entry instance coordinates under epoch ${settled.value.verdict.version}.`);
        }
    }

    #propose(record: schema.log.FleetRecord, now: number): ReturnType<fleetView.FleetView["propose"]> {
        return this.#parts.view.propose(this.#parts.stream, record, now + this.#parts.times.leaseMs);
    }

    /** Gives the lease up, so that another takes it at once. `now` is clock time in ms. */
    async release(now: number): Promise<void> {
        if (!this.isHeld) {
            return;
        }
        const session = this.#parts.readSession();
        await this.#propose({
            ...records.createHeader(session),
            kind: "lease-released",
            session,
            epoch: this.#parts.view.state.lease.epoch,
        }, now);
    }
}

/** Whether a lease whose newest record was read at `seenAt` (clock ms) may be tried for at `now`. */
export function isLapsed(
    lease: fleetState.LeaseState,
    seenAt: number,
    times: schema.settings.SessionTimes,
    now: number,
): boolean {
    return lease.session === undefined ? now >= seenAt : now - seenAt > times.leaseMs;
}
