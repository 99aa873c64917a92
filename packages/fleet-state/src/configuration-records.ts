/**
 * Handlers for published profiles and configurations. A publication names the version that its author saw (optimistic
 * concurrency control): of two concurrent publications one is applied and the other is ignored as a conflict.
 */
import type * as schema from "@catkinwharf/schema";
import * as change from "./change.js";
import type * as model from "./model.js";
import * as verdict from "./verdict.js";

export const applyProfilePublished: change.Handler<schema.log.ProfilePublished> = (state, record, position) => {
    const name = record.profile.name;
    const published = createNextVersion(state.profiles.get(name), record.profile, record.expectedVersion, position);
    if (published === undefined) {
        return change.ignore(verdict.IgnoreReason.conflict);
    }
    return change.accept({ ...state, profiles: change.withValue(state.profiles, name, published) });
};

export const applyConfigurationPublished: change.Handler<schema.log.ConfigurationPublished> = (
    state,
    record,
    position,
) => {
    const published = createNextVersion(state.configuration, record.configuration, record.expectedVersion, position);
    if (published === undefined) {
        return change.ignore(verdict.IgnoreReason.conflict);
    }
    const reason = validateConfiguration(record.configuration, new Set(state.profiles.keys()));
    return reason === undefined ? change.accept({ ...state, configuration: published }) : change.ignore(reason);
};

/**
 * Checks a configuration that follows the schema against the names of the published profiles. Returns the first reason
 * to ignore it; undefined if it is valid.
 */
export function validateConfiguration(
    configuration: schema.log.Configuration,
    profiles: ReadonlySet<string>,
): verdict.IgnoreReason | undefined {
    const pools = new Set(configuration.pools.map(pool => pool.name));
    const services = new Set(configuration.services.map(service => service.name));
    if (pools.size < configuration.pools.length || pools.has(configuration.sparePool)) {
        return verdict.IgnoreReason.poolRepeated;
    }
    if (services.size < configuration.services.length) {
        return verdict.IgnoreReason.serviceRepeated;
    }
    if (configuration.services.some(service => !pools.has(service.pool))) {
        return verdict.IgnoreReason.poolNotListed;
    }
    if (configuration.services.some(service => !profiles.has(service.profile))) {
        return verdict.IgnoreReason.profileUnknown;
    }
    return undefined;
}

/** Whether the current configuration has the pool, either as a listed pool or as the spare pool. */
export function hasPool(state: model.FleetState, pool: string): boolean {
    const configuration = state.configuration?.value;
    return configuration !== undefined
        && (configuration.sparePool === pool || configuration.pools.some(listed => listed.name === pool));
}

function createNextVersion<Value>(
    current: model.Versioned<Value> | undefined,
    value: Value,
    expectedVersion: number,
    position: change.Position,
): model.Versioned<Value> | undefined {
    const version = current?.version ?? 0;
    return expectedVersion === version ? { version: version + 1, offset: position.offset, value } : undefined;
}
