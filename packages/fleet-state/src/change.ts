/**
 * Results and small steps that the handlers of all record kinds share.
 */
import type * as schema from "@catkinwharf/schema";
import type * as model from "./model.js";
import * as shardedMap from "./sharded-map.js";
import * as verdict from "./verdict.js";

/** Result of a handler: the state after the record, or the reason why the record changes nothing. */
export interface Change {
    readonly state: model.FleetState | undefined;
    readonly ignored: verdict.Ignored | undefined;
}

/** Where and when the platform took a record. */
export interface Position {
    readonly offset: number;
    readonly appendedAt: number;
}

/** Applies a record of one kind. */
export type Handler<Record> = (state: model.FleetState, record: Record, position: Position) => Change;

/** Record that its author decided as coordinator. */
export type CoordinatorRecord = Extract<
    schema.log.FleetRecord,
    { kind: `instance-${string}` | `drain-${string}` | "move-committed"; }
>;

export function accept(state: model.FleetState): Change {
    return { state, ignored: undefined };
}

export function ignore(reason: verdict.Ignored): Change {
    return { state: undefined, ignored: reason };
}

/** A copy of the map with one more or one other value. */
export function withValue<Value>(
    map: ReadonlyMap<string, Value>,
    key: string,
    value: Value,
): ReadonlyMap<string, Value> {
    return shardedMap.ShardedMap.from(map).with(key, value);
}

/** A copy of the map without one key. */
export function withoutKey<Value>(map: ReadonlyMap<string, Value>, key: string): ReadonlyMap<string, Value> {
    return shardedMap.ShardedMap.from(map).without(key);
}

export function withInstance(state: model.FleetState, instance: model.InstanceState): model.FleetState {
    return { ...state, instances: withValue(state.instances, instance.instance.name, instance) };
}

/** Lets a handler see only records of the lease's holder under its present epoch. */
export function requireEpoch<Record extends CoordinatorRecord>(handler: Handler<Record>): Handler<Record> {
    return (state, record, position) => {
        const held = record.author === state.lease.session && record.epoch === state.lease.epoch;
        return held ? handler(state, record, position) : ignore(verdict.Ignored.staleEpoch);
    };
}
