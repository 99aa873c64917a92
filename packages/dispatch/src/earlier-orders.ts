/**
 * Upper bounds on when earlier coordinators ordered machines, computed from the ledger.
 *
 * Two coordinators may not order the same machine within one order lease. Orders and heartbeats in the ledger carry how
 * long their writer had coordinated, on its steady clock. A process that has just started, and reads all records at
 * once, can therefore tell the minimum age of an order without relying on any wall clock. A coordinator that resigned
 * after all its orders were answered sends no more of them.
 */
import type * as jobState from "@catkinwharf/job-state";

/** An order for a machine, as read from the ledger. */
export interface EarlierOrder {
    readonly epoch: number;
    /** Ms for which its coordinator had coordinated when it gave the order. */
    readonly tenure: number;
    /** When this process read the record, on its steady clock. */
    readonly readAt: number;
}

/**
 * Latest time at which the order can have been given, on this process's steady clock.
 *
 * @param last the newest leadership record
 * @param now on this process's steady clock
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
