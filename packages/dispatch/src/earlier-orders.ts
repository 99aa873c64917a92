/**
 * When earlier coordinators ordered machines, as far as the ledger tells.
 *
 * Two coordinators may not order one machine within a lease. Orders and signs of life carry how long their writer had
 * coordinated, on its steady clock. So a process that has just started, and reads everything at once, knows how long ago
 * an order was given at least, without trusting anybody's time of day. One that resigned after all its orders were answered
 * gives none any more.
 */
import type * as jobState from "@catkinwharf/job-state";

/** An order for a machine, as it was read from the ledger. */
export interface EarlierOrder {
    readonly epoch: number;
    /** Ms for which its coordinator had coordinated. */
    readonly tenure: number;
    /** On this process's steady clock. */
    readonly readAt: number;
}

/** The latest time, on this process's steady clock, at which the order can have been given; `now` is on it, too. */
export function findOrderTime(order: EarlierOrder, last: jobState.Leadership | undefined, now: number): number {
    if (last === undefined || order.epoch > last.epoch) {
        return order.readAt;
    }
    if (last.resigned && last.ordersSettled && order.epoch === last.epoch) {
        return Number.NEGATIVE_INFINITY;
    }
    const age = order.epoch === last.epoch ? last.tenure - order.tenure : last.tenure;
    return Math.min(order.readAt, now - Math.max(0, age));
}
