/**
 * What the fold made of a record, as its author reads it back.
 */
import type * as schema from "@catkinwharf/schema";
import type * as model from "./model.js";

/** Why a record changed nothing. */
export const Ignored = {
    /** The entry does not follow the schema. */
    malformed: "malformed",
    /** The offset or the record's id was applied before. */
    duplicate: "duplicate",
    /** The author had not seen the newest version, lease record or stop of that name. */
    conflict: "conflict",
    /** The author does not hold the coordinator lease with that epoch. */
    staleEpoch: "stale-epoch",
    /** The session was renewed after the renewal that the closer saw. */
    staleRenewal: "stale-renewal",
    /** The home has changed since the generation that the record names. */
    staleGeneration: "stale-generation",
    /** Only the session itself may append this record. */
    wrongAuthor: "wrong-author",
    /** Author and session, or old and new registration, are of different availability zones. */
    wrongZone: "wrong-zone",
    /** The instance is not in the phase that the record needs. */
    wrongPhase: "wrong-phase",
    /** The home has not released the instance. */
    notReleased: "not-released",
    /** The instance does not belong to the stop's remaining ones. */
    notCovered: "not-covered",
    /** The session is open already, or the instance stands in another rack. */
    alreadyKnown: "already-known",
    sessionUnknown: "session-unknown",
    /** The session was closed and does not open again. */
    sessionClosed: "session-closed",
    instanceUnknown: "instance-unknown",
    drainUnknown: "drain-unknown",
    stopUnknown: "stop-unknown",
    stopCancelled: "stop-cancelled",
    /** The pool of the move is the present one, or is not in the configuration. */
    poolUnknown: "pool-unknown",
    /** The configuration names a service twice. */
    serviceRepeated: "service-repeated",
    /** The configuration names a pool twice, or the spare pool among the pools. */
    poolRepeated: "pool-repeated",
    /** A service's pool is not among the configuration's pools. */
    poolNotListed: "pool-not-listed",
    /** A service's profile was not published. */
    profileUnknown: "profile-unknown",
} as const;

export type Ignored = (typeof Ignored)[keyof typeof Ignored];

/** Whether a record changed the state. */
export interface Verdict {
    readonly applied: boolean;
    /** Why it changed nothing; undefined if applied. */
    readonly ignored: Ignored | undefined;
    /**
     * Number now in force of what the record concerns, 0 if none: version of the configuration or profile, epoch of
     * the lease, generation of the instance.
     */
    readonly version: number;
}

/** State after an entry. */
export interface Application {
    readonly state: model.FleetState;
    readonly verdict: Verdict;
    /** The entry's record; undefined if it is malformed or its offset was applied before. */
    readonly record: schema.log.FleetRecord | undefined;
}
