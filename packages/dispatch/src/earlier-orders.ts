/**
 * Upper bounds on when earlier coordinators ordered a move or the maintenance of a machine, computed from the ledger.
 *
 * The platform requires a minimum time, the order separation, between the orders of two coordinators for the same
 * machine. Orders and heartbeats in the ledger carry the tenure of their writer: how long it had been coordinator, on
 * its monotonic clock. A process that has just started, and reads all records at once, can therefore tell the minimum
 * age of an order without relying on any wall clock. A coordinator that resigned after all its orders got a response
 * sends no more of them.
 */
import type * as jobState from "@catkinwharf/job-state";

/** An order for a machine, as read from the ledger. */
export interface EarlierOrder {
    readonly epoch: number;
    /** Ms for which the sender had been coordinator when it recorded the order. */
    readonly tenure: number;
    /** When this process read the record, on its monotonic clock. */
    readonly readAt: number;
}

/**
 * Latest time at which the order can have been recorded, on this process's monotonic clock.
 *
 * @param last the newest leadership record
 * @param now on this process's monotonic clock
 */
export function findLatestOrderTime(order: EarlierOrder, last: jobState.Leadership | undefined, now: number): number {
    if (last === undefined || order.epoch > last.epoch) {
        return order.readAt;
    }
    if (last.resigned && last.ordersSettled && order.epoch === last.epoch) {
        return Number.NEGATIVE_INFINITY;
    }
    const age = order.epoch === last.epoch ? last.tenure - order.tenure : last.tenure;
    return Math.min(order.readAt, now - Math.max(0, age));
}
