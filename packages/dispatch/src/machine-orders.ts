/**
 * Orders for machines, and what keeps two coordinators' orders for one machine apart.
 *
 * Every order is preceded by an append under the coordinator's epoch, so a coordinator that has been succeeded, or that
 * slept, orders nothing. An order without an answer is repeated until it is answered. One that couldn't be sent soon,
 * because the store was out, is dropped: what it was decided by no longer holds.
 */
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as timers from "node:timers/promises";
import type * as context from "./context.js";

/** Time in ms for a call about machines. */
export const machineTimeout = 900;
/** Longest time in ms between the confirmation of the epoch and the order that it covers. */
const confirmationValidity = 250;
/** Time in ms after which a decision that couldn't be confirmed is dropped, and taken anew by what is known then. */
const decisionValidity = 600;
/** Time in ms before an order that got no answer is repeated. */
const orderRetryDelay = 300;
/** Time in ms between two looks whether all orders have been answered. */
const closeLook = 10;
/**
 * Time in ms that a new coordinator adds to the span in which two holders may not order one machine: an order may leave as
 * long after its record as its confirmation holds, and after a wait for a connection within its time limit; and its way.
 */
const orderLeaseMargin = confirmationValidity + machineTimeout + 150;

/** What became of an order; for one that was refused, the reason that the platform gave. */
export const OrderOutcome = {
    done: "done",
    /** It couldn't be sent soon enough. */
    outdated: "outdated",
    /** The epoch wasn't confirmed, or the machine is in use. */
    notOrdered: "not ordered",
    /** This coordinator has stopped. */
    superseded: "superseded",
} as const;

export interface MachineOrder {
    readonly machine: string;
    /** Looked at again just before the order is sent. */
    readonly isInUse: () => boolean;
    readonly createCall: (holder: platform.machineCalls.Holder) => platform.Call;
}

export class MachineOrders {
    /** On the steady clock: until then nothing could be stored, and callers couldn't submit. */
    blindUntil = Number.NEGATIVE_INFINITY;
    #stopped = false;
    #closing = false;
    #underWay = 0;

    constructor(
        private readonly shared: context.CoordinatorContext,
        /** On the steady clock: when earlier coordinators ordered machines, at the latest. */
        private readonly earlier: ReadonlyMap<string, number>,
    ) {}

    get closing(): boolean {
        return this.#closing;
    }

    stop(): void {
        this.#stopped = true;
    }

    /** Gives no more orders. Returns whether all that were given have been answered within `patience` ms. */
    async close(patience: number): Promise<boolean> {
        this.#closing = true;
        const { clock } = this.shared;
        const began = clock.steady();
        while (this.#underWay > 0 && clock.steady() - began < patience) {
            await timers.setTimeout(closeLook);
        }
        return this.#underWay === 0;
    }

    /** Another coordinator may have ordered the machine so lately that a second order would come too soon. */
    isHeld(machine: string): boolean {
        const { clock, settings } = this.shared;
        const orderedAt = this.earlier.get(machine);
        return orderedAt !== undefined && clock.steady() - orderedAt < settings.bounds.orderLease + orderLeaseMargin;
    }

    /** Gives an order until it is answered; returns what became of it. */
    async give(order: MachineOrder): Promise<string> {
        this.#underWay += 1;
        try {
            return await this.#repeat(order);
        }
        finally {
            this.#underWay -= 1;
        }
    }

    async #repeat(order: MachineOrder): Promise<string> {
        const { shared } = this;
        const decidedAt = shared.clock.steady();
        let sent = false;
        while (!this.#stopped) {
            const before = shared.clock.wall();
            const tenure = shared.clock.steady() - shared.claimedAt;
            shared.writer.add(jobState.encodeMachineOrder(order.machine, shared.epoch, tenure));
            if (!await shared.writer.flush() || order.isInUse()) {
                return OrderOutcome.notOrdered;
            }
            if (!sent && (this.#closing || shared.clock.steady() - decidedAt > decisionValidity)) {
                this.blindUntil = shared.clock.steady();
                return OrderOutcome.outdated;
            }
            if (Math.abs(shared.clock.wall() - before) > confirmationValidity) {
                continue; // Time has passed since the epoch was confirmed, perhaps in a suspended machine.
            }
            sent = true;
            const call = order.createCall({ node: shared.node, fencingToken: shared.epoch });
            const answer = await shared.calls.send(shared.settings.machinesAddress!, call, machineTimeout);
            const decoded = answer.isOk() ? platform.machineCalls.decodeMachineOrder(answer.value) : undefined;
            if (decoded?.kind === "done") {
                return OrderOutcome.done;
            }
            if (decoded !== undefined && (decoded.status === 409 || decoded.status === 400)) {
                return decoded.reason === "" ? `status ${decoded.status}` : decoded.reason;
            }
            await timers.setTimeout(orderRetryDelay);
        }
        return OrderOutcome.superseded;
    }
}
