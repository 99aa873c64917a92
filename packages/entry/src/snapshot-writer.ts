/**
 * Writes snapshots of the fleet state, from which a reader starts whose next offset the log no longer retains.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as logService from "@catkinwharf/log-service";
import * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as metrics from "./metrics.js";
import * as records from "./records.js";

/** Longest time in ms between snapshots while entries are appended to the log. */
const maxIntervalMs = 60_000;

export interface SnapshotWriterOptions {
    readonly service: logService.ServiceClientOptions;
    /** Number of log entries after which a snapshot is due. */
    readonly snapshotEvery: number;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readSession(): string;
}

export class SnapshotWriter {
    readonly #options: SnapshotWriterOptions;
    #writtenOffset = 0;
    #writtenAt = Number.NEGATIVE_INFINITY;

    constructor(options: SnapshotWriterOptions) {
        this.#options = options;
    }

    /** Writes a snapshot if enough entries or enough time has passed since the last. `now` is clock time in ms. */
    async writeIfDue(state: fleetState.FleetState, now: number): Promise<void> {
        const newEntries = state.nextOffset - this.#writtenOffset;
        if (newEntries === 0 || (newEntries < this.#options.snapshotEvery && now - this.#writtenAt < maxIntervalMs)) {
            return;
        }
        const record: schema.log.Snapshot = {
            ...records.createHeader(this.#options.readSession()),
            nextOffset: state.nextOffset,
            hash: fleetState.hashState(state),
            state: fleetState.storeState(state),
        };
        const appended = await logService.appendOnce(this.#options.service, logService.snapshotStream, record);
        if (appended.isErr()) {
            this.#options.metrics.count("platform_events", `snapshot:${appended.error.fault}`);
            return;
        }
        this.#writtenOffset = state.nextOffset;
        this.#writtenAt = now;
        this.#options.logger.debug(`Wrote a snapshot up to offset ${state.nextOffset}.`);
    }
}
