/**
 * Decides whether this session may dispatch requests, and whether it may close another session.
 *
 * Both decisions rest on one inequality. A session dispatches for at most `fenceMs` after it *sent* a renewal that the
 * log confirmed, or after it *sent* a heartbeat that a peer answered. The session that closes it waits
 * `fenceMs + fenceMarginMs` after it *read* that renewal, and after it *answered* that heartbeat. Reading and answering
 * come after sending, so dispatching ends before the session can be closed. The clocks of the two processes may show
 * different times, as long as their rates differ by less than the margin. The argument is that of Gray and Cheriton,
 * "Leases" (1989).
 */
import * as schema from "@catkinwharf/schema";

/** Whether another open session of the same availability zone can be reached. */
export const PeerReachability = {
    /**
     * It answered a heartbeat that was sent less than the fence time ago; where a promise is required, the answer
     * promised not to close this session.
     */
    answering: "answering",
    /** Its process has ended: it sent a goodbye, its host refuses connections, or another process uses its address. */
    gone: "gone",
    /** None of these is known. */
    unreachable: "unreachable",
} as const;

export type PeerReachability = (typeof PeerReachability)[keyof typeof PeerReachability];

/** Whether a session may dispatch, and on which grounds. */
export const Permission = {
    /** The log confirmed a renewal within the fence time. */
    fresh: "fresh",
    /** No renewal was confirmed within the fence time, but no other session of the zone can close this one now. */
    sheltered: "sheltered",
    /**
     * No renewal was confirmed within the fence time and a peer of the zone is unreachable; dispatching ends at the
     * second limit.
     */
    limited: "limited",
    /** The session may not dispatch. */
    fenced: "fenced",
} as const;

export type Permission = (typeof Permission)[keyof typeof Permission];

export interface PermissionInput {
    /** Clock time in ms at which the newest confirmed renewal was sent; undefined before the first. */
    readonly confirmedAt: number | undefined;
    /** Clock time in ms at which this process resumed after its latest long pause; undefined if it never paused. */
    readonly resumedAt: number | undefined;
    /** Reachability of the other open sessions of the availability zone, counting only answers with a promise. */
    readonly zonePeers: readonly PeerReachability[];
    readonly times: schema.settings.SessionTimes;
}

/**
 * Whether the session may dispatch at `now` (clock time in ms).
 *
 * After a long pause, what was known of the other sessions is no longer valid: they may have taken this process for
 * dead. Only a renewal sent after the pause counts then.
 */
export function decidePermission(input: PermissionInput, now: number): Permission {
    if (input.confirmedAt === undefined) {
        return Permission.fenced;
    }
    const age = now - input.confirmedAt;
    if (age < input.times.fenceMs) {
        return Permission.fresh;
    }
    if (input.resumedAt !== undefined && input.confirmedAt < input.resumedAt) {
        return Permission.fenced;
    }
    if (input.zonePeers.every(reachability => reachability !== PeerReachability.unreachable)) {
        return Permission.sheltered;
    }
    return age < input.times.secondLimitMs ? Permission.limited : Permission.fenced;
}

/** What the link to a peer shows of it. */
export interface LinkStatus {
    /** Whether the peer's process has ended. */
    readonly gone: boolean;
    /** Clock time in ms at which the newest answered heartbeat was sent. */
    readonly answeredHeartbeatSentAt: number | undefined;
}

export function classifyPeer(link: LinkStatus, times: schema.settings.SessionTimes, now: number): PeerReachability {
    if (link.gone) {
        return PeerReachability.gone;
    }
    const answered = link.answeredHeartbeatSentAt !== undefined && now - link.answeredHeartbeatSentAt < times.fenceMs;
    return answered ? PeerReachability.answering : PeerReachability.unreachable;
}

/** Another session of the closer's availability zone, as the closer knows it. */
export interface CloseCandidate {
    readonly session: string;
    /** Clock time in ms at which the closer read its newest renewal. */
    readonly renewalReadAt: number;
    /** Clock time in ms at which the closer last answered a heartbeat of it; undefined if it never did. */
    readonly heartbeatAnsweredAt: number | undefined;
    readonly reachability: PeerReachability;
}

export interface CloseInput {
    readonly candidates: readonly CloseCandidate[];
    /** Whether the closer's own renewal was confirmed and the log read to its head within the fence time. */
    readonly fresh: boolean;
    readonly times: schema.settings.SessionTimes;
}

/** The sessions that may be closed at `now` (clock time in ms). */
export function listClosableSessions(input: CloseInput, now: number): readonly CloseCandidate[] {
    return input.fresh ? input.candidates.filter(candidate => isClosable(candidate, input.times, now)) : [];
}

function isClosable(candidate: CloseCandidate, times: schema.settings.SessionTimes, now: number): boolean {
    if (candidate.reachability === PeerReachability.answering) {
        return false;
    }
    const limit = candidate.reachability === PeerReachability.gone
        ? times.fenceMs
        : Math.max(times.fenceMs, times.secondLimitMs);
    const waitMs = limit + times.fenceMarginMs;
    const answeredAt = candidate.heartbeatAnsweredAt ?? Number.NEGATIVE_INFINITY;
    return now - candidate.renewalReadAt >= waitMs && now - answeredAt >= times.fenceMs + times.fenceMarginMs;
}
