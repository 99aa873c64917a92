/**
 * The two streams that the entry process follows, and where each resumes if the log no longer retains its next offset.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as logService from "@catkinwharf/log-service";
import * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as fleetView from "./fleet-view.js";
import * as metrics from "./metrics.js";

/** Name of the stream of fleet records. */
export const fleetStream = "fleet";
/** Name of the stream of key claims. */
export const claimsStream = "claims";

/** Share of the rate limit `appendsPerSecond` that each stream may use; the shares add up to 1. */
const appendShares = { [fleetStream]: 0.25, [claimsStream]: 0.75 } as const;

export interface StreamDependencies {
    readonly settings: schema.settings.EntrySettings;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
}

/** Creates the options with which a service of the platform is called. */
export function createServiceClientOptions(
    settings: schema.settings.EntrySettings,
    url: string,
    onBytes?: logService.ServiceClientOptions["onBytes"],
): logService.ServiceClientOptions {
    return {
        url,
        timeoutMs: settings.log.timeoutMs,
        ...(settings.sourceHost === undefined ? {} : { localAddress: settings.sourceHost }),
        ...(onBytes === undefined ? {} : { onBytes }),
    };
}

function createStreamOptions(
    dependencies: StreamDependencies,
    stream: keyof typeof appendShares,
): Omit<logService.StreamOptions, "handlers"> {
    return {
        ...createServiceClientOptions(dependencies.settings, dependencies.settings.platform.log),
        stream,
        limits: {
            ...dependencies.settings.log,
            appendsPerSecond: dependencies.settings.log.appendsPerSecond * appendShares[stream],
        },
        clock: dependencies.clock,
        logger: dependencies.logger,
        counters: dependencies.metrics.createSink("platform_events", stream),
    };
}

/** Creates the fleet stream, whose entries are applied to the view. */
export function createFleetStream(dependencies: StreamDependencies, view: fleetView.FleetView): logService.Stream {
    const options = createStreamOptions(dependencies, fleetStream);
    return new logService.Stream({
        ...options,
        handlers: {
            onEntries: entries => view.applyEntries(entries, dependencies.clock()),
            onGap: oldestOffset => loadSnapshot(dependencies, view, oldestOffset),
        },
    });
}

/** Creates the claims stream. A reader that fell behind resumes at the oldest retained claim. */
export function createClaimsStream(
    dependencies: StreamDependencies,
    onEntries: (entries: readonly logService.LogEntry[]) => void,
): logService.Stream {
    return new logService.Stream({
        ...createStreamOptions(dependencies, claimsStream),
        handlers: {
            onEntries,
            onGap: oldestOffset => Promise.resolve(oldestOffset),
        },
    });
}

/**
 * Loads the newest snapshot, unless the view has reached the oldest offset already, and resolves with the offset at
 * which reading resumes. Rejects if no snapshot covers the oldest offset; the stream then calls this function again.
 * The view never replaces its state by an older one.
 */
async function loadSnapshot(
    dependencies: StreamDependencies,
    view: fleetView.FleetView,
    oldestOffset: number,
): Promise<number> {
    if (view.state.nextOffset < oldestOffset) {
        const read = await logService.readLastSnapshot(
            createServiceClientOptions(dependencies.settings, dependencies.settings.platform.log),
        );
        const snapshot = read.isOk() ? restoreSnapshot(read.value?.body) : undefined;
        if (snapshot === undefined || snapshot.nextOffset < oldestOffset) {
            dependencies.metrics.count("platform_events", "snapshot:missing");
            throw new Error(`no snapshot covers offset ${oldestOffset}`);
        }
        view.loadState(snapshot, dependencies.clock());
    }
    dependencies.logger.info(
        `The fleet stream resumes from a snapshot at offset ${view.state.nextOffset}.`,
    );
    return view.state.nextOffset;
}

/** Restores the state of a snapshot; undefined if the snapshot is malformed or its hash doesn't match. */
export function restoreSnapshot(document: unknown): fleetState.FleetState | undefined {
    if (!schema.validators.logSnapshot(document)) {
        return undefined;
    }
    const state = fleetState.restoreState(document.state);
    return state !== undefined && fleetState.hashState(state) === document.hash ? state : undefined;
}
