/**
 * Sends orders for machines, and keeps the orders of two coordinators for one machine apart.
 *
 * Every order is preceded by an append under the coordinator's epoch, so a coordinator that was replaced, perhaps while
 * its host was suspended, sends no orders. An order without a response is repeated until there is one. One that
 * couldn't be sent in time because the store was unavailable is dropped: the state that it was decided on is outdated.
 */
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as timers from "node:timers/promises";
import type * as context from "./context.js";

/** Time limit in ms for a call that lists or orders machines. */
export const machineTimeout = 900;
/** Longest time in ms between the append that confirms the epoch and the order that it covers. */
const confirmationValidity = 250;
/** Time in ms after which an order whose epoch couldn't be confirmed is dropped; the next plan decides again. */
const decisionValidity = 600;
/** Time in ms before an order without a final response is repeated. */
const orderRetryDelay = 300;
/** Time in ms between two checks whether all orders have got a response. */
const closePollInterval = 10;
/**
 * Time in ms that a new coordinator waits in addition to the order separation, the platform's minimum time between the
 * orders of two coordinators for one machine. An order can reach the platform this much later than its ledger record
 * was written: the validity of the confirmation, a wait for a connection of up to the call's timeout, and the
 * transmission.
 */
const orderSeparationMargin = confirmationValidity + machineTimeout + 150;

/** Outcomes of an order; a refused order has the platform's reason as its outcome instead. */
export const OrderOutcome = {
    done: "done",
    /** The epoch was confirmed too late, or this coordinator was resigning, so the order wasn't sent. */
    outdated: "outdated",
    /** The epoch couldn't be confirmed, or the machine is in use. */
    notOrdered: "not ordered",
    /** This coordinator has stopped. */
    superseded: "superseded",
} as const;

export interface MachineOrder {
    readonly machine: string;
    /** Checked again just before the order is sent. */
    readonly isInUse: () => boolean;
    readonly createCall: (holder: platform.machineCalls.OrderSender) => platform.Call;
}

export class MachineOrders {
    /**
     * On the monotonic clock: until then the store was unavailable, and callers couldn't submit jobs. Also set when an
     * order is dropped at the resignation, where it has no effect.
     */
    storeUnavailableUntil = Number.NEGATIVE_INFINITY;
    #stopped = false;
    #closing = false;
    #inFlight = 0;
    /** On the monotonic clock. */
    readonly #lastEarlierOrderAt: number;

    constructor(
        private readonly shared: context.CoordinatorContext,
        /**
         * For each machine, the latest time at which an earlier coordinator can have ordered it, on the monotonic
         * clock.
         */
        private readonly earlierOrderTimes: ReadonlyMap<string, number>,
    ) {
        this.#lastEarlierOrderAt = Math.max(Number.NEGATIVE_INFINITY, ...earlierOrderTimes.values());
    }

    get closing(): boolean {
        return this.#closing;
    }

    stop(): void {
        this.#stopped = true;
    }

    /** Starts no more orders. Returns whether all orders in flight were finished within `timeout` ms. */
    async close(timeout: number): Promise<boolean> {
        this.#closing = true;
        const { clock } = this.shared;
        const startedAt = clock.monotonic();
        while (this.#inFlight > 0 && clock.monotonic() - startedAt < timeout) {
            await timers.setTimeout(closePollInterval);
        }
        return this.#inFlight === 0;
    }

    /** Whether an earlier coordinator may have ordered any machine less than the order separation ago. */
    get hasEarlierOrders(): boolean {
        return this.#isWithinSeparation(this.#lastEarlierOrderAt);
    }

    /** Whether an earlier coordinator may have ordered the machine less than the order separation ago. */
    isWithinOrderSeparation(machine: string): boolean {
        return this.#isWithinSeparation(this.earlierOrderTimes.get(machine) ?? Number.NEGATIVE_INFINITY);
    }

    #isWithinSeparation(orderedAt: number): boolean {
        const { clock, settings } = this.shared;
        return clock.monotonic() - orderedAt < settings.bounds.orderSeparation + orderSeparationMargin;
    }

    /** Sends an order until it gets a final response, and returns its outcome. */
    async execute(order: MachineOrder): Promise<string> {
        this.#inFlight += 1;
        try {
            return await this.#sendUntilAnswered(order);
        }
        finally {
            this.#inFlight -= 1;
        }
    }

    async #sendUntilAnswered(order: MachineOrder): Promise<string> {
        const { shared } = this;
        const decidedAt = shared.clock.monotonic();
        let sent = false;
        while (!this.#stopped) {
            // Wall clock: the monotonic clock stands still while the host is suspended.
            const confirmationStart = shared.clock.wall();
            const tenure = shared.clock.monotonic() - shared.termStartedAt;
            shared.writer.add(jobState.encodeMachineOrder(order.machine, shared.epoch, tenure));
            if (!await shared.writer.flush() || order.isInUse()) {
                return OrderOutcome.notOrdered;
            }
            if (!sent && (this.#closing || shared.clock.monotonic() - decidedAt > decisionValidity)) {
                this.storeUnavailableUntil = shared.clock.monotonic();
                return OrderOutcome.outdated;
            }
            if (Math.abs(shared.clock.wall() - confirmationStart) > confirmationValidity) {
                continue; // The confirmation is too old, for example because the host was suspended meanwhile.
            }
            sent = true;
            const call = order.createCall({ node: shared.node, fencingToken: shared.epoch });
            const answer = await shared.calls.send(shared.settings.machinesAddress!, call, machineTimeout);
            const decoded = answer.isOk() ? platform.machineCalls.decodeMachineOrderResult(answer.value) : undefined;
            if (decoded?.kind === "done") {
                return OrderOutcome.done;
            }
            // 409 is a refusal, 400 a malformed order; other statuses may pass.
            if (decoded !== undefined && (decoded.status === 409 || decoded.status === 400)) {
                return decoded.reason === "" ? `status ${decoded.status}` : decoded.reason;
            }
            await timers.setTimeout(orderRetryDelay);
        }
        return OrderOutcome.superseded;
    }
}
