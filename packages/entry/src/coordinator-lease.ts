/**
 * Acquires, renews and releases the coordinator lease through records in the log.
 *
 * Clocks only decide when to try. The fold of the log decides who holds the lease: it applies an acquisition only if
 * the author had read the newest lease record.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as fleetView from "./fleet-view.js";
import * as metrics from "./metrics.js";
import * as records from "./records.js";

/** The lease is renewed after the lease time divided by this number. */
const renewalsPerLease = 3;

export interface CoordinatorLeaseOptions {
    readonly view: fleetView.FleetView;
    readonly stream: fleetView.RecordAppender;
    readonly times: schema.settings.SessionTimes;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
    readonly random: () => number;
    readSession(): string;
}

export class CoordinatorLease {
    readonly #options: CoordinatorLeaseOptions;
    /** Offset of the newest lease record that was read, and clock time in ms at which it was read. */
    #lastRecordOffset = -1;
    #lastRecordReadAt = 0;
    #renewedAt = 0;
    /** Random delay in ms by which the candidates' attempts to acquire the lease are spread out. */
    #jitterMs = 0;

    constructor(options: CoordinatorLeaseOptions) {
        this.#options = options;
        this.#lastRecordReadAt = options.clock();
        options.view.onChange(() => this.#trackLease());
    }

    #trackLease(): void {
        const lease = this.#options.view.state.lease;
        if (lease.offset !== this.#lastRecordOffset) {
            this.#lastRecordOffset = lease.offset;
            this.#lastRecordReadAt = this.#options.clock();
            this.#jitterMs = this.#options.random() * this.#options.times.renewMs;
        }
    }

    /** Whether this session holds the lease as far as it has read. */
    get isHeld(): boolean {
        return fleetState.holdsLease(this.#options.view.state, this.#options.readSession());
    }

    /** Renews the lease if that is due, or tries to acquire it if it has lapsed. `now` is clock time in ms. */
    async renewOrAcquire(now: number): Promise<void> {
        if (this.isHeld) {
            if (now - this.#renewedAt >= this.#options.times.leaseMs / renewalsPerLease) {
                await this.#renew(now);
            }
            return;
        }
        if (
            isLapsed(this.#options.view.state.lease, this.#lastRecordReadAt + this.#jitterMs, this.#options.times, now)
        ) {
            await this.#acquire(now);
        }
    }

    async #renew(now: number): Promise<void> {
        const session = this.#options.readSession();
        const record: schema.log.LeaseRenewed = {
            ...records.createHeader(session),
            kind: "lease-renewed",
            session,
            epoch: this.#options.view.state.lease.epoch,
        };
        this.#renewedAt = now;
        const result = await this.#propose(record, now);
        if (result.isOk() && !result.value.verdict.applied) {
            this.#options.metrics.count("lease_events", "lost");
        }
    }

    async #acquire(now: number): Promise<void> {
        const session = this.#options.readSession();
        const record: schema.log.LeaseAcquired = {
            ...records.createHeader(session),
            kind: "lease-acquired",
            session,
            observedOffset: this.#options.view.state.lease.offset,
        };
        const result = await this.#propose(record, now);
        if (result.isOk() && result.value.verdict.applied) {
            this.#renewedAt = now;
            this.#options.metrics.count("lease_events", "acquired");
            this.#options.logger.info(
                `This session acquired the coordinator lease; the epoch is ${result.value.verdict.version}.`,
            );
        }
    }

    #propose(record: schema.log.FleetRecord, now: number): ReturnType<fleetView.FleetView["propose"]> {
        return this.#options.view.propose(this.#options.stream, record, now + this.#options.times.leaseMs);
    }

    /** Releases the lease, so that another session can acquire it at once. `now` is clock time in ms. */
    async release(now: number): Promise<void> {
        if (!this.isHeld) {
            return;
        }
        const session = this.#options.readSession();
        await this.#propose({
            ...records.createHeader(session),
            kind: "lease-released",
            session,
            epoch: this.#options.view.state.lease.epoch,
        }, now);
    }
}

/** Whether the lease may be acquired at `now`, if its newest record was read at `seenAt` (clock times in ms). */
export function isLapsed(
    lease: fleetState.LeaseState,
    seenAt: number,
    times: schema.settings.SessionTimes,
    now: number,
): boolean {
    return lease.session === undefined ? now >= seenAt : now - seenAt > times.leaseMs;
}
