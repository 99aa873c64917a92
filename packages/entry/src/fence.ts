/**
 * Decides whether this session may still dispatch, and whether it may close another.
 *
 * Both decisions rest on one inequality. A session dispatches for at most `fenceMs` after it *sent* a renewal that the
 * log confirmed, or after it *sent* a heartbeat that a peer answered. A closer waits `fenceMs + fenceMarginMs` after it
 * *read* that renewal, and after it *answered* that heartbeat. Reading and answering come after sending, so the window of
 * the one ends before that of the other begins, whatever their clocks show, as long as their rates differ by less than
 * the margin. The lease argument is that of Gray and Cheriton, "Leases" (1989).
 */
import * as schema from "@catkinwharf/schema";

/** What is known of another open session of the same availability zone. */
export const Contact = {
    /** It answered, with a promise where one is asked for, a heartbeat that was sent less than the fence time ago. */
    answering: "answering",
    /** Its process is gone: it said goodbye, its host refuses connections, or another process answers there. */
    gone: "gone",
    /** Nothing is known. */
    unreachable: "unreachable",
} as const;

export type Contact = (typeof Contact)[keyof typeof Contact];

/** Whether and why a session may dispatch. */
export const Permission = {
    /** The log confirmed a renewal within the fence time. */
    fresh: "fresh",
    /** The log is out of reach, but no other session of the zone can close this one now. */
    sheltered: "sheltered",
    /** The log and a peer are out of reach; dispatching ends at the second limit. */
    limited: "limited",
    /** No dispatching. */
    fenced: "fenced",
} as const;

export type Permission = (typeof Permission)[keyof typeof Permission];

export interface PermissionInput {
    /** Clock time in ms at which the newest confirmed renewal was sent; undefined before the first. */
    readonly confirmedAt: number | undefined;
    /** Clock time in ms at which this process went on after its newest long pause; undefined for none. */
    readonly resumedAt: number | undefined;
    /** What the other open sessions of the availability zone promise. */
    readonly zoneContacts: readonly Contact[];
    readonly times: schema.settings.SessionTimes;
}

/**
 * Whether the session may dispatch at `now` (clock ms).
 *
 * What was known of the others before a long pause says nothing afterwards: they took the silence for the end of this
 * process. So only a renewal sent after the pause counts then.
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
    if (input.zoneContacts.every(contact => contact !== Contact.unreachable)) {
        return Permission.sheltered;
    }
    return age < input.times.secondLimitMs ? Permission.limited : Permission.fenced;
}

/** Contact to a peer from its link. */
export interface LinkView {
    readonly gone: boolean;
    /** Clock time in ms at which the newest answered heartbeat was sent. */
    readonly answeredAt: number | undefined;
}

export function classifyContact(link: LinkView, times: schema.settings.SessionTimes, now: number): Contact {
    if (link.gone) {
        return Contact.gone;
    }
    const answered = link.answeredAt !== undefined && now - link.answeredAt < times.fenceMs;
    return answered ? Contact.answering : Contact.unreachable;
}

/** What a closer knows of another session of its availability zone. */
export interface CloseCandidate {
    readonly session: string;
    /** Clock time in ms at which its newest renewal was read. */
    readonly renewalReadAt: number;
    /** Clock time in ms at which a heartbeat of it was last answered; undefined for never. */
    readonly promisedAt: number | undefined;
    readonly contact: Contact;
}

export interface CloseInput {
    readonly candidates: readonly CloseCandidate[];
    /** Whether the closer's own renewal is confirmed within the fence time and its reads reach the head. */
    readonly fresh: boolean;
    readonly times: schema.settings.SessionTimes;
}

/** The sessions that may be closed at `now` (clock ms). */
export function listClosable(input: CloseInput, now: number): readonly CloseCandidate[] {
    return input.fresh ? input.candidates.filter(candidate => isClosable(candidate, input.times, now)) : [];
}

function isClosable(candidate: CloseCandidate, times: schema.settings.SessionTimes, now: number): boolean {
    if (candidate.contact === Contact.answering) {
        return false;
    }
    const limit = candidate.contact === Contact.gone ? times.fenceMs : Math.max(times.fenceMs, times.secondLimitMs);
    const wait = limit + times.fenceMarginMs;
    const promised = candidate.promisedAt ?? Number.NEGATIVE_INFINITY;
    return now - candidate.renewalReadAt >= wait && now - promised >= times.fenceMs + times.fenceMarginMs;
}
