/**
 * The two streams that the entry process follows, and how each starts anew below the retained offset.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as platform from "@catkinwharf/log-service";
import * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as fleetView from "./fleet-view.js";
import * as metrics from "./metrics.js";

/** Name of the stream of fleet records. */
export const fleetStream = "fleet";
/** Name of the stream of key claims. */
export const claimsStream = "claims";

/** Share of this entry instance's appends that each stream may use; together they stay within the setting. */
const appendShares = { [fleetStream]: 0.25, [claimsStream]: 0.75 } as const;

export interface StreamParts {
    readonly settings: schema.settings.EntrySettings;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
}

/** How the platform's services are reached. */
export function createServiceOptions(
    settings: schema.settings.EntrySettings,
    url: string,
    onBytes?: platform.ServiceOptions["onBytes"],
): platform.ServiceOptions {
    return {
        url,
        timeoutMs: settings.log.timeoutMs,
        ...(settings.sourceHost === undefined ? {} : { localAddress: settings.sourceHost }),
        ...(onBytes === undefined ? {} : { onBytes }),
    };
}

function createStreamOptions(
    parts: StreamParts,
    stream: keyof typeof appendShares,
): Omit<platform.StreamOptions, "handlers"> {
    return {
        ...createServiceOptions(parts.settings, parts.settings.platform.log),
        stream,
        limits: {
            ...parts.settings.log,
            appendsPerSecond: parts.settings.log.appendsPerSecond * appendShares[stream],
        },
        clock: parts.clock,
        logger: parts.logger,
        counters: parts.metrics.createSink("platform_events", stream),
    };
}

/** Follows the fleet stream into the view. */
export function createFleetStream(parts: StreamParts, view: fleetView.FleetView): platform.Stream {
    const options = createStreamOptions(parts, fleetStream);
    return new platform.Stream({
        ...options,
        handlers: {
            onEntries: entries => view.applyEntries(entries, parts.clock()),
            onGap: oldestOffset => loadSnapshot(parts, view, oldestOffset),
        },
    });
}

/** Follows the claims stream. A reader that fell behind goes on at the oldest claim that is kept. */
export function createClaimsStream(
    parts: StreamParts,
    onEntries: (entries: readonly platform.LogEntry[]) => void,
): platform.Stream {
    return new platform.Stream({
        ...createStreamOptions(parts, claimsStream),
        handlers: {
            onEntries,
            onGap: oldestOffset => Promise.resolve(oldestOffset),
        },
    });
}

/**
 * Loads the newest snapshot and answers where to read on; rejects if none covers the oldest offset, and is then called
 * again. An older state than the one held is never taken.
 */
async function loadSnapshot(
    parts: StreamParts,
    view: fleetView.FleetView,
    oldestOffset: number,
): Promise<number> {
    if (view.state.nextOffset < oldestOffset) {
        const read = await platform.readLastSnapshot(createServiceOptions(parts.settings, parts.settings.platform.log));
        const snapshot = read.isOk() ? restoreSnapshot(read.value?.body) : undefined;
        if (snapshot === undefined || snapshot.nextOffset < oldestOffset) {
            parts.metrics.count("platform_events", "snapshot:missing");
            throw new Error(`no snapshot covers offset ${oldestOffset}`);
        }
        view.loadState(snapshot, parts.clock());
    }
    parts.logger.info(`Read on from a snapshot at offset ${view.state.nextOffset}.`);
    return view.state.nextOffset;
}

/** Restores a snapshot whose state has the hash that it names; undefined otherwise. */
export function restoreSnapshot(document: unknown): fleetState.FleetState | undefined {
    if (!schema.validators.logSnapshot(document)) {
        return undefined;
    }
    const state = fleetState.restoreState(document.state);
    return state !== undefined && fleetState.hashState(state) === document.hash ? state : undefined;
}
