/**
 * Handlers for the records that open, renew and close sessions of entry instances. A closed session can't be reopened,
 * so a process that resumes after a long pause reads that its session was closed and opens a new one.
 */
import type * as schema from "@catkinwharf/schema";
import * as change from "./change.js";
import * as homes from "./homes.js";
import * as idWindow from "./id-window.js";
import type * as model from "./model.js";
import * as verdict from "./verdict.js";

export const applySessionOpened: change.Handler<schema.log.SessionOpened> = (state, record, position) => {
    const reason = validateOpening(state, record);
    if (reason !== undefined) {
        return change.ignore(reason);
    }
    const session = createSession(record, position);
    const opened = { ...state, sessions: change.withValue(state.sessions, session.session, session) };
    return change.accept({ ...opened, instances: homes.updateHomesAfterOpen(opened, session.availabilityZone) });
};

export const applySessionRenewed: change.Handler<schema.log.SessionRenewed> = (state, record, position) => {
    const session = state.sessions.get(record.session);
    if (session === undefined) {
        return change.ignore(verdict.IgnoreReason.sessionUnknown);
    }
    if (record.author !== record.session) {
        return change.ignore(verdict.IgnoreReason.wrongAuthor);
    }
    const renewed: model.SessionState = {
        ...session,
        renewalOffset: position.offset,
        renewedAt: position.appendedAt,
        appliedOffset: record.appliedOffset,
        configurationVersion: record.configurationVersion,
    };
    return change.accept({ ...state, sessions: change.withValue(state.sessions, session.session, renewed) });
};

export const applySessionClosed: change.Handler<schema.log.SessionClosed> = (state, record) => {
    const session = state.sessions.get(record.session);
    if (session === undefined) {
        return change.ignore(verdict.IgnoreReason.sessionUnknown);
    }
    if (record.observedRenewal !== session.renewalOffset) {
        return change.ignore(verdict.IgnoreReason.staleRenewal);
    }
    const reason = closeRules[record.reason](session, record.author, state);
    return reason === undefined ? change.accept(closeSession(state, session)) : change.ignore(reason);
};

type CloseRule = (
    session: model.SessionState,
    author: string,
    state: model.FleetState,
) => verdict.IgnoreReason | undefined;

/** For each close reason, checks whether the author may close the session. */
const closeRules: { readonly [Reason in schema.log.SessionClosed["reason"]]: CloseRule; } = {
    goodbye: (session, author) => author === session.session ? undefined : verdict.IgnoreReason.wrongAuthor,
    fenced: (session, author, state) => {
        const closer = state.sessions.get(author);
        if (closer === undefined) {
            return verdict.IgnoreReason.sessionUnknown;
        }
        return closer.availabilityZone === session.availabilityZone ? undefined : verdict.IgnoreReason.wrongZone;
    },
    operator: (_session, author, state) => state.sessions.has(author) ? undefined : verdict.IgnoreReason.sessionUnknown,
};

function validateOpening(
    state: model.FleetState,
    record: schema.log.SessionOpened,
): verdict.IgnoreReason | undefined {
    if (state.sessions.has(record.session)) {
        return verdict.IgnoreReason.alreadyKnown;
    }
    if (idWindow.hasId(state.closedSessions, record.session)) {
        return verdict.IgnoreReason.sessionClosed;
    }
    return record.author === record.session ? undefined : verdict.IgnoreReason.wrongAuthor;
}

function createSession(record: schema.log.SessionOpened, position: change.Position): model.SessionState {
    return {
        session: record.session,
        entry: record.entry,
        availabilityZone: record.availabilityZone,
        peerAddress: record.peerAddress,
        operatorAddress: record.operatorAddress,
        openedOffset: position.offset,
        renewalOffset: position.offset,
        renewedAt: position.appendedAt,
        appliedOffset: 0,
        configurationVersion: 0,
    };
}

function closeSession(state: model.FleetState, session: model.SessionState): model.FleetState {
    const closed: model.FleetState = {
        ...state,
        sessions: change.withoutKey(state.sessions, session.session),
        closedSessions: idWindow.addId(state.closedSessions, session.session),
        lease: state.lease.session === session.session ? { ...state.lease, session: undefined } : state.lease,
    };
    return { ...closed, instances: homes.updateHomesAfterClose(closed, session.availabilityZone, session.session) };
}
