/**
 * The fleet state: what the records of the `fleet` stream, read up to an offset, say about sessions, instances and
 * planned stops. All parts are immutable; a record gives a new state that shares what it did not change.
 */
import type * as schema from "@catkinwharf/schema";
import * as idWindow from "./id-window.js";
import * as shardedMap from "./sharded-map.js";

/** A published value and the version that its publication gave it. */
export interface Versioned<Value> {
    /** 1 for the first publication, then one more for each. */
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
    /** Offset up to which the session had applied the stream at its newest renewal, 0 before the first. */
    readonly appliedOffset: number;
    /** Configuration version that it then had in force, 0 before the first. */
    readonly configurationVersion: number;
}

/** Phases of an instance's life. */
export const Phase = {
    /** Its home sends it work. */
    active: "active",
    /** Its home sends it no new work and waits for the running work. */
    draining: "draining",
    /** No session sends it work. */
    released: "released",
    /** It was handed to the platform for its reboot. */
    stopped: "stopped",
} as const;

export type Phase = (typeof Phase)[keyof typeof Phase];

/** Why an instance is out of work, from the start of the drain until it is active again. */
export interface DrainState {
    readonly id: string;
    readonly purpose: schema.log.DrainPurpose;
    /** Wall-clock time of the author in ms since 1970. */
    readonly startedAt: number;
}

/** An instance, its pool and its home. */
export interface InstanceState {
    readonly instance: schema.log.Instance;
    readonly pool: string;
    readonly phase: Phase;
    readonly drain: DrainState | undefined;
    /** Session that alone may send work to the instance. */
    readonly home: string | undefined;
    /** Session that becomes home when the present one has released the instance. */
    readonly nextHome: string | undefined;
    /** Rises with every change of the home, also across a new registration under the same name. */
    readonly generation: number;
    /** Whether the instance failed its check after its last reboot. */
    readonly failedReturn: boolean;
}

/** A planned stop and its progress. */
export interface StopState {
    readonly stop: schema.log.Stop;
    readonly offset: number;
    /** Platform time of the announcement in ms since 1970. */
    readonly announcedAt: number;
    readonly cancelled: boolean;
    /** Instances that still have to go through the stop, sorted. */
    readonly remaining: readonly string[];
    readonly returned: readonly string[];
    /** Instances that came back failing their check, or were unregistered before they came back. */
    readonly failed: readonly string[];
}

/** The coordinator lease. */
export interface LeaseState {
    readonly session: string | undefined;
    /** Rises with every acquisition. */
    readonly epoch: number;
    /** Offset of the newest lease record that was applied, -1 for none. */
    readonly offset: number;
    /** Platform time of that record in ms since 1970. */
    readonly renewedAt: number;
}

/** What the `fleet` stream says up to an offset. */
export interface FleetState {
    /** First offset that is not applied. */
    readonly nextOffset: number;
    readonly configuration: Versioned<schema.log.Configuration> | undefined;
    readonly profiles: ReadonlyMap<string, Versioned<schema.log.Profile>>;
    /** Open sessions by name. */
    readonly sessions: ReadonlyMap<string, SessionState>;
    readonly lease: LeaseState;
    readonly instances: ReadonlyMap<string, InstanceState>;
    readonly stops: ReadonlyMap<string, StopState>;
    /** Ids of the newest records other than renewals. */
    readonly recentIds: idWindow.IdWindow;
    /** Names of the sessions that were closed last. */
    readonly closedSessions: idWindow.IdWindow;
    /** Highest generation of any unregistered instance; a registered one starts above it. */
    readonly generationFloor: number;
}

/** A record as it was read from the stream. */
export interface LogEntry {
    readonly offset: number;
    /** Platform time of the append in ms since 1970. */
    readonly appendedAt: number;
    readonly body: unknown;
}

/** Records whose ids are remembered. */
export const recentIdCount = 10_000;

/** Closed sessions that are remembered. */
export const closedSessionCount = 2_000;

/** State before the first record. */
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
