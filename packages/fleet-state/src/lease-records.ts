/**
 * Handlers for the records of the coordinator lease. An acquisition names the newest lease record that its author saw.
 * It is a compare-and-set: a lease record appended in between makes it fail.
 */
import type * as schema from "@catkinwharf/schema";
import * as change from "./change.js";
import type * as model from "./model.js";
import * as verdict from "./verdict.js";

export const applyLeaseAcquired: change.Handler<schema.log.LeaseAcquired> = (state, record, position) => {
    if (!state.sessions.has(record.session)) {
        return change.ignore(verdict.IgnoreReason.sessionUnknown);
    }
    if (record.author !== record.session) {
        return change.ignore(verdict.IgnoreReason.wrongAuthor);
    }
    if (record.observedOffset !== state.lease.offset) {
        return change.ignore(verdict.IgnoreReason.conflict);
    }
    return change.accept(withLease(state, record.session, state.lease.epoch + 1, position));
};

export const applyLeaseRenewed: change.Handler<schema.log.LeaseRenewed> = (state, record, position) =>
    isHolder(state, record)
        ? change.accept(withLease(state, record.session, record.epoch, position))
        : change.ignore(verdict.IgnoreReason.staleEpoch);

export const applyLeaseReleased: change.Handler<schema.log.LeaseReleased> = (state, record, position) =>
    isHolder(state, record)
        ? change.accept(withLease(state, undefined, record.epoch, position))
        : change.ignore(verdict.IgnoreReason.staleEpoch);

function isHolder(
    state: model.FleetState,
    record: schema.log.LeaseRenewed | schema.log.LeaseReleased,
): boolean {
    return record.author === record.session
        && record.session === state.lease.session
        && record.epoch === state.lease.epoch;
}

function withLease(
    state: model.FleetState,
    session: string | undefined,
    epoch: number,
    position: change.Position,
): model.FleetState {
    const lease = { session, epoch, offset: position.offset, renewedAt: position.appendedAt };
    return { ...state, lease };
}
