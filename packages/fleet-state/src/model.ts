/**
 * The fleet state: configuration, profiles, sessions, coordinator lease, instances and planned stops after the records
 * of the `fleet` stream up to an offset. States are immutable; applying a record creates a new state that shares its
 * unchanged parts with the old one.
 */
import type * as schema from "@catkinwharf/schema";
import * as idWindow from "./id-window.js";
import * as shardedMap from "./sharded-map.js";

/** A published value and the version that its publication gave it. */
export interface Versioned<Value> {
    /** 1 for the first publication, incremented by each later one. */
    readonly version: number;
    /** Offset of the publication. */
    readonly offset: number;
    readonly value: Value;
}

/** An open session of an entry instance. */
export interface SessionState {
    readonly session: string;
    readonly entry: string;
    readonly availabilityZone: string;
    readonly peerAddress: schema.log.Address;
    readonly operatorAddress: schema.log.Address;
    readonly openedOffset: number;
    /** Offset of the newest renewal, or of the opening. */
    readonly renewalOffset: number;
    /** Platform time of that record in ms since 1970. */
    readonly renewedAt: number;
    /** Offset of the next entry that the session would apply, as of its newest renewal; 0 before the first. */
    readonly appliedOffset: number;
    /** Configuration version in force at the session as of its newest renewal; 0 before the first. */
    readonly configurationVersion: number;
}

/** Lifecycle phases of an instance. */
export const Phase = {
    /** Its home sends it requests. */
    active: "active",
    /** Its home sends it no new requests and waits for the running ones. */
    draining: "draining",
    /** No session sends it requests. */
    released: "released",
    /** The platform reboots it. */
    stopped: "stopped",
} as const;

export type Phase = (typeof Phase)[keyof typeof Phase];

/** Drain of an instance, from its start until the instance is active again. */
export interface DrainState {
    readonly id: string;
    readonly purpose: schema.log.DrainPurpose;
    /** Wall-clock time of the author in ms since 1970. */
    readonly startedAt: number;
}

/** An instance with its pool, phase and home. */
export interface InstanceState {
    readonly instance: schema.log.Instance;
    readonly pool: string;
    readonly phase: Phase;
    readonly drain: DrainState | undefined;
    /** The only session that may send requests to the instance. */
    readonly home: string | undefined;
    /** Session that becomes the home when the current one has released the instance. */
    readonly nextHome: string | undefined;
    /** Incremented by every change of the home; a new registration under the same name starts above earlier values. */
    readonly generation: number;
    /** Whether the instance failed its health check after its last reboot. */
    readonly failedReturn: boolean;
}

/** A planned stop and its progress. */
export interface StopState {
    readonly stop: schema.log.Stop;
    readonly offset: number;
    /** Platform time of the announcement in ms since 1970. */
    readonly announcedAt: number;
    readonly cancelled: boolean;
    /** Instances that have not completed the stop, sorted. */
    readonly remaining: readonly string[];
    readonly returned: readonly string[];
    /** Instances that failed their health check after the reboot or were unregistered before they returned. */
    readonly failed: readonly string[];
}

/** The coordinator lease. */
export interface LeaseState {
    readonly session: string | undefined;
    /** Incremented by every acquisition. */
    readonly epoch: number;
    /** Offset of the newest applied lease record, -1 for none. */
    readonly offset: number;
    /** Platform time of that record in ms since 1970. */
    readonly renewedAt: number;
}

/** State after the entries of the `fleet` stream below `nextOffset`. */
export interface FleetState {
    /** Offset of the next entry to apply. */
    readonly nextOffset: number;
    readonly configuration: Versioned<schema.log.Configuration> | undefined;
    readonly profiles: ReadonlyMap<string, Versioned<schema.log.Profile>>;
    /** Open sessions by name. */
    readonly sessions: ReadonlyMap<string, SessionState>;
    readonly lease: LeaseState;
    readonly instances: ReadonlyMap<string, InstanceState>;
    readonly stops: ReadonlyMap<string, StopState>;
    /** Ids of the newest records other than renewals, for detecting duplicates. */
    readonly recentIds: idWindow.IdWindow;
    /** Names of the most recently closed sessions, which can't be reopened. */
    readonly closedSessions: idWindow.IdWindow;
    /** Highest generation of any unregistered instance; newly registered instances start above it. */
    readonly generationFloor: number;
}

/** A record as it was read from the stream. */
export interface LogEntry {
    readonly offset: number;
    /** Platform time of the append in ms since 1970. */
    readonly appendedAt: number;
    readonly body: unknown;
}

/** Minimum number of record ids that are kept. */
export const recentIdCount = 10_000;

/** Minimum number of closed sessions whose names are kept. */
export const closedSessionCount = 2_000;

/** State before any entry was applied. */
export const emptyFleetState: FleetState = {
    nextOffset: 0,
    configuration: undefined,
    profiles: shardedMap.ShardedMap.empty(),
    sessions: shardedMap.ShardedMap.empty(),
    lease: { session: undefined, epoch: 0, offset: -1, renewedAt: 0 },
    instances: shardedMap.ShardedMap.empty(),
    stops: shardedMap.ShardedMap.empty(),
    recentIds: idWindow.createIdWindow(recentIdCount),
    closedSessions: idWindow.createIdWindow(closedSessionCount),
    generationFloor: 0,
};
