/**
 * Writes snapshots of the fleet state, so that readers below the log's retention can start.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as platform from "@catkinwharf/log-service";
import * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as metrics from "./metrics.js";
import * as records from "./records.js";

/** Longest time in ms between snapshots while the log grows. */
const maxIntervalMs = 60_000;

export interface SnapshotParts {
    readonly service: platform.ServiceOptions;
    readonly snapshotEvery: number;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readSession(): string;
}

export class SnapshotWriter {
    readonly #parts: SnapshotParts;
    #writtenOffset = 0;
    #writtenAt = Number.NEGATIVE_INFINITY;

    constructor(parts: SnapshotParts) {
        this.#parts = parts;
    }

    /** Writes a snapshot if enough records or time passed since the last. `now` is clock time in ms. */
    async writeIfDue(state: fleetState.FleetState, now: number): Promise<void> {
        const grown = state.nextOffset - this.#writtenOffset;
        if (grown === 0 || (grown < this.#parts.snapshotEvery && now - this.#writtenAt < maxIntervalMs)) {
            return;
        }
        const record: schema.log.Snapshot = {
            ...records.createHeader(this.#parts.readSession()),
            nextOffset: state.nextOffset,
            hash: fleetState.hashState(state),
            state: fleetState.storeState(state),
        };
        const appended = await platform.appendOnce(this.#parts.service, platform.snapshotStream, record);
        if (appended.isErr()) {
            this.#parts.metrics.count("platform_events", `snapshot:${appended.error.fault}`);
            return;
        }
        this.#writtenOffset = state.nextOffset;
        this.#writtenAt = now;
        this.#parts.logger.debug(`Snapshot written up to offset ${state.nextOffset}.`);
    }
}
