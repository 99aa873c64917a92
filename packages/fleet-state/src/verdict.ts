/**
 * Result of applying a record, as its author reads it back.
 */
import type * as schema from "@catkinwharf/schema";
import type * as model from "./model.js";

/** Reasons for which a record is ignored. */
export const IgnoreReason = {
    /** The entry does not follow the schema. */
    malformed: "malformed",
    /** The offset or the record's id was already applied. */
    duplicate: "duplicate",
    /** The author had not seen the newest version or lease record, or a stop of that name exists. */
    conflict: "conflict",
    /** The author does not hold the coordinator lease under the record's epoch. */
    staleEpoch: "stale-epoch",
    /** The session was renewed after the renewal that the author observed. */
    staleRenewal: "stale-renewal",
    /** The instance's home has changed since the generation in the record. */
    staleGeneration: "stale-generation",
    /** Only the session itself may append this record. */
    wrongAuthor: "wrong-author",
    /** Author and session, or old and new registration, are in different availability zones. */
    wrongZone: "wrong-zone",
    /** The instance is not in the phase, pool or kind of drain that the record requires. */
    wrongPhase: "wrong-phase",
    /** The home has not released the instance. */
    notReleased: "not-released",
    /** The instance is not one of the stop's remaining instances. */
    notCovered: "not-covered",
    /** The session is already open, or the instance is registered in another rack. */
    alreadyKnown: "already-known",
    sessionUnknown: "session-unknown",
    /** The session was closed and can't be reopened. */
    sessionClosed: "session-closed",
    instanceUnknown: "instance-unknown",
    drainUnknown: "drain-unknown",
    stopUnknown: "stop-unknown",
    stopCancelled: "stop-cancelled",
    /** The target pool of the move is the current pool, or is not in the configuration. */
    poolUnknown: "pool-unknown",
    /** The configuration lists a service twice. */
    serviceRepeated: "service-repeated",
    /** The configuration lists a pool twice, or lists the spare pool among the pools. */
    poolRepeated: "pool-repeated",
    /** A service's pool is not among the configuration's pools. */
    poolNotListed: "pool-not-listed",
    /** A service's profile was not published. */
    profileUnknown: "profile-unknown",
} as const;

export type IgnoreReason = (typeof IgnoreReason)[keyof typeof IgnoreReason];

/** Whether a record was applied, and the current version of its subject. */
export interface Verdict {
    readonly applied: boolean;
    /** Reason for which the record was ignored; undefined if it was applied. */
    readonly ignored: IgnoreReason | undefined;
    /**
     * Current version of the record's subject, 0 if none: the version of the configuration or profile, the epoch of the
     * lease, or the generation of the instance.
     */
    readonly version: number;
}

/** Result of applying an entry. */
export interface ApplyResult {
    readonly state: model.FleetState;
    readonly verdict: Verdict;
    /** The entry's record; undefined if the entry is malformed or its offset was already applied. */
    readonly record: schema.log.FleetRecord | undefined;
}
