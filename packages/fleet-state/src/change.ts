/**
 * Result type and state updates shared by the handlers of all record kinds.
 */
import type * as schema from "@catkinwharf/schema";
import type * as model from "./model.js";
import * as shardedMap from "./sharded-map.js";
import * as verdict from "./verdict.js";

/** Result of a handler: the state after the record, or the reason for which the record is ignored. */
export interface Change {
    readonly state: model.FleetState | undefined;
    readonly ignored: verdict.IgnoreReason | undefined;
}

/** Offset and platform time (ms since 1970) at which the platform appended a record. */
export interface Position {
    readonly offset: number;
    readonly appendedAt: number;
}

/** Applies a record of one kind. */
export type Handler<Record> = (state: model.FleetState, record: Record, position: Position) => Change;

/** Records that only the coordinator may append. */
export type CoordinatorRecord = Extract<
    schema.log.FleetRecord,
    { kind: `instance-${string}` | `drain-${string}` | "move-committed"; }
>;

export function accept(state: model.FleetState): Change {
    return { state, ignored: undefined };
}

export function ignore(reason: verdict.IgnoreReason): Change {
    return { state: undefined, ignored: reason };
}

/** Returns a copy of the map in which the key has the value. */
export function withValue<Value>(
    map: ReadonlyMap<string, Value>,
    key: string,
    value: Value,
): ReadonlyMap<string, Value> {
    return shardedMap.ShardedMap.from(map).with(key, value);
}

/** Returns a copy of the map without the key. */
export function withoutKey<Value>(map: ReadonlyMap<string, Value>, key: string): ReadonlyMap<string, Value> {
    return shardedMap.ShardedMap.from(map).without(key);
}

export function withInstance(state: model.FleetState, instance: model.InstanceState): model.FleetState {
    return { ...state, instances: withValue(state.instances, instance.instance.name, instance) };
}

/** Wraps a handler so that it gets only records that the lease holder appended under the current epoch. */
export function requireEpoch<Record extends CoordinatorRecord>(handler: Handler<Record>): Handler<Record> {
    return (state, record, position) => {
        const isLeaseHolder = record.author === state.lease.session && record.epoch === state.lease.epoch;
        return isLeaseHolder ? handler(state, record, position) : ignore(verdict.IgnoreReason.staleEpoch);
    };
}
