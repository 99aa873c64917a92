/**
 * The stored form of a fleet state, used in snapshots, and its hash. Equal states have the same stored form, whatever
 * the history that led to them.
 */
import * as schema from "@catkinwharf/schema";
import * as crypto from "node:crypto";
import * as canonicalJson from "./canonical-json.js";
import * as idWindow from "./id-window.js";
import * as model from "./model.js";
import * as selectors from "./selectors.js";
import * as shardedMap from "./sharded-map.js";

/** Converts the state to a plain JSON value in which lists are sorted by name. */
export function storeState(state: model.FleetState): schema.log.Snapshot["state"] {
    return canonicalJson.sortKeys({
        ...state,
        profiles: listSorted(state.profiles),
        sessions: listSorted(state.sessions),
        instances: listSorted(state.instances),
        stops: listSorted(state.stops),
        recentIds: idWindow.listIds(state.recentIds),
        closedSessions: idWindow.listIds(state.closedSessions),
    }) as schema.log.Snapshot["state"];
}

/** Restores a state from the result of `storeState`; undefined if it does not follow the schema. */
export function restoreState(stored: unknown): model.FleetState | undefined {
    if (!schema.validators.logStoredFleet(stored)) {
        return undefined;
    }
    return {
        nextOffset: stored.nextOffset,
        configuration: stored.configuration,
        profiles: shardedMap.ShardedMap.from(stored.profiles.map(profile => [profile.value.name, profile])),
        sessions: shardedMap.ShardedMap.from(stored.sessions.map(session => [session.session, session])),
        lease: { ...stored.lease, session: stored.lease.session },
        instances: shardedMap.ShardedMap.from(
            stored.instances.map(instance => [instance.instance.name, restoreInstance(instance)]),
        ),
        stops: shardedMap.ShardedMap.from(stored.stops.map(stop => [stop.stop.name, stop])),
        recentIds: idWindow.restoreIds(model.recentIdCount, stored.recentIds),
        closedSessions: idWindow.restoreIds(model.closedSessionCount, stored.closedSessions),
        generationFloor: stored.generationFloor,
    };
}

/** SHA-256 of the stored form in canonical JSON, in hex. */
export function hashState(state: model.FleetState): string {
    return crypto.createHash("sha256").update(JSON.stringify(storeState(state))).digest("hex");
}

/** Sets absent optional properties to undefined, so that restored instances have the same properties as others. */
function restoreInstance(stored: schema.log.StoredInstance): model.InstanceState {
    return { ...stored, drain: stored.drain, home: stored.home, nextHome: stored.nextHome };
}

function listSorted<Value>(map: ReadonlyMap<string, Value>): Value[] {
    return [...map].sort(([left], [right]) => selectors.compareNames(left, right)).map(([, value]) => value);
}
