/**
 * The machines of the backend servers: the platform's list, updated by the orders that were carried out since.
 */
import * as platform from "@catkinwharf/platform";
import type * as context from "./context.js";
import type * as fleet from "./fleet.js";
import * as machineOrders from "./machine-orders.js";
import * as serverLosses from "./server-losses.js";
import type * as session from "./server-session.js";

export type Machine = platform.machineCalls.Machine;

/** Time in ms between two reads of the list of machines. */
export const refreshInterval = 400;

export interface ManagedMachine {
    machine: Machine;
    /** Kind of the order that is in flight. */
    pendingOrder: "move" | "maintenance" | undefined;
    /** The machine by the newest read, also while an order for it is in flight. */
    listed: Machine;
    /** Whether a row of the list shows that the last order was carried out; its response may have been lost. */
    isOrderCarriedOut: (listed: Machine) => boolean;
    /** Whether a read during that order has shown so. */
    orderSeenCarriedOut: boolean;
    /** On the monotonic clock: since when no task runs there; `undefined` while one does. */
    emptySince: number | undefined;
    /** Number of complete reads in a row that omitted the machine, up to the newest one. */
    missedReads: number;
}

export class MachineInventory {
    /** Those listed at least once that aren't gone. */
    readonly machines = new Map<string, ManagedMachine>();
    /** Whether the list has been read at least once. */
    loaded = false;
    /** Reads of all pages in which every row could be read. */
    #completeReads = 0;
    #lastRefreshAt = Number.NEGATIVE_INFINITY;
    #refreshing = false;
    #hasMarkedServers = false;
    #stopped = false;
    readonly #losses = new serverLosses.ServerLosses();

    constructor(
        private readonly shared: context.CoordinatorContext,
        private readonly fleet: fleet.Fleet,
        private readonly orders: machineOrders.MachineOrders,
    ) {}

    stop(): void {
        this.#stopped = true;
    }

    /** Reads the list when its refresh is due at `now`, on the monotonic clock, ms. */
    refreshIfDue(now: number): void {
        if (now - this.#lastRefreshAt >= refreshInterval && !this.#refreshing) {
            this.#lastRefreshAt = now;
            this.#refreshing = true;
            void this.#fetchMachines().finally(() => this.#refreshing = false);
        }
    }

    /** Updates since when each machine has been empty; `now` is on the monotonic clock, ms. */
    updateEmptySince(now: number): void {
        for (const managed of this.machines.values()) {
            const server = this.findServer(managed);
            const empty = server === undefined ? managed.machine.server === "" : server.runs.size === 0;
            managed.emptySince = empty ? managed.emptySince ?? now : undefined;
        }
    }

    /**
     * Marks the servers that an earlier coordinator's order may still take away, or all while it isn't known on which
     * machines they are.
     */
    markServersOrderedAway(): void {
        if (!this.#hasMarkedServers && !this.orders.hasEarlierOrders) {
            return;
        }
        this.#hasMarkedServers = this.orders.hasEarlierOrders;
        const areAllMarked = !this.loaded && this.#hasMarkedServers;
        for (const server of this.fleet.sessions.values()) {
            server.load.mayBeOrderedAway = areAllMarked;
        }
        for (const managed of this.machines.values()) {
            const server = this.findServer(managed);
            if (server !== undefined && this.orders.isWithinOrderSeparation(managed.machine.id)) {
                server.load.mayBeOrderedAway = true;
            }
        }
    }

    findServer(managed: ManagedMachine): session.ServerSession | undefined {
        return managed.machine.server === "" ? undefined : this.fleet.sessions.get(managed.machine.server);
    }

    /** Whether the machine is known to have left; one that hasn't been listed yet may still be. */
    isGone(id: string): boolean {
        return !this.machines.has(id) && this.#completeReads >= serverLosses.missedListsUntilGone;
    }

    /**
     * Whether a move or maintenance of the machine can be ordered: it is listed as up, no order for it is in flight, an
     * earlier coordinator's order is old enough, and it has either no server or one that is listed, reachable and not
     * draining.
     */
    canBeOrdered(managed: ManagedMachine): boolean {
        if (
            managed.pendingOrder !== undefined || this.orders.isWithinOrderSeparation(managed.machine.id)
            || managed.machine.state !== platform.machineCalls.MachineState.up || managed.missedReads > 0
        ) {
            return false;
        }
        const server = this.findServer(managed);
        return server === undefined
            ? managed.machine.server === ""
            : server.reachable && !server.entry.draining && !server.unlisted;
    }

    /**
     * Orders a move or maintenance of a machine, whose server gets no new tasks from here on.
     *
     * @param after the machine's state once the order is carried out
     * @returns the outcome of the order
     */
    async order(
        managed: ManagedMachine,
        kind: "move" | "maintenance",
        createCall: machineOrders.MachineOrder["createCall"],
        after: Machine,
    ): Promise<string> {
        const server = this.findServer(managed);
        const { server: serverId } = managed.machine;
        const wasReserved = server?.reservedForOrder ?? false;
        managed.pendingOrder = kind;
        managed.isOrderCarriedOut = listed => listed.state === after.state && listed.pool === after.pool;
        managed.orderSeenCarriedOut = false;
        if (server !== undefined) {
            server.reservedForOrder = true;
            server.load.acceptsTasks = false;
        }
        const { clock, log } = this.shared;
        const decided = {
            runs: server?.runs.size,
            // Ms since the newest list of what runs there.
            list: server === undefined ? undefined : Math.round(clock.monotonic() - server.lastAnswerAt),
        };
        const answer = await this.orders.execute({
            machine: managed.machine.id,
            // Another server may have come up on the machine, for example after a crash.
            isInUse: () => managed.listed.server !== serverId || (server !== undefined && server.runs.size > 0),
            createCall,
        });
        const outcome = managed.orderSeenCarriedOut ? machineOrders.OrderOutcome.done : answer;
        managed.pendingOrder = undefined;
        log.info("machine-ordered", {
            machine: managed.machine.id,
            kind,
            server: server?.entry.id,
            outcome,
            runs: server?.runs.size,
            decided,
        });
        if (outcome === machineOrders.OrderOutcome.done) {
            this.#losses.recordOrder(serverId);
            managed.machine = after;
        }
        else if (server !== undefined) {
            server.reservedForOrder = wasReserved;
        }
        return outcome;
    }

    async #fetchMachines(): Promise<void> {
        const { calls, settings, log } = this.shared;
        const requestedAt = this.shared.clock.monotonic();
        const found: Machine[] = [];
        let unreadableCount = 0;
        let page: string | undefined;
        do {
            const answer = await calls.send(
                settings.machinesAddress!,
                platform.machineCalls.createListCall(page),
                machineOrders.machineTimeout,
            );
            if (answer.isErr()) {
                log.warn("machines-unread", { reason: answer.error.reason });
                return;
            }
            const decoded = platform.machineCalls.decodeList(answer.value);
            if (decoded.kind === "refused") {
                log.warn("machines-unread", { status: decoded.status });
                return;
            }
            found.push(...decoded.machines);
            unreadableCount += decoded.unreadableCount;
            page = decoded.next;
        }
        while (page !== undefined && !this.#stopped);
        const complete = page === undefined && unreadableCount === 0;
        if (!complete) {
            log.warn("machines-incomplete", { found: found.length, unreadable: unreadableCount });
        }
        this.#applyMachines(found, complete);
        this.#endLostServers({ machines: found, complete, requestedAt });
    }

    #endLostServers(list: serverLosses.MachineList): void {
        const contacts = [...this.fleet.sessions.values()].map(({ entry, reachable, lastAnswerAt, runs }) => ({
            id: entry.id,
            reachable,
            lastAnswerAt,
            hasRuns: runs.size > 0,
        }));
        const ordered = [...this.machines.values()].filter(({ pendingOrder }) => pendingOrder !== undefined);
        const losses = this.#losses.apply(list, contacts, new Set(ordered.map(({ machine }) => machine.id)));
        losses.forEach(loss => this.fleet.handleLoss(loss));
    }

    #applyMachines(found: readonly Machine[], complete: boolean): void {
        if (complete) {
            this.#completeReads += 1;
            this.#countMissedReads(new Set(found.map(machine => machine.id)));
        }
        for (const machine of found) {
            const known = this.machines.get(machine.id);
            if (known === undefined) {
                this.machines.set(machine.id, {
                    machine,
                    listed: machine,
                    pendingOrder: undefined,
                    isOrderCarriedOut: () => false,
                    orderSeenCarriedOut: false,
                    emptySince: undefined,
                    missedReads: 0,
                });
                continue;
            }
            known.missedReads = 0;
            known.listed = machine;
            known.orderSeenCarriedOut ||= known.pendingOrder !== undefined && known.isOrderCarriedOut(machine);
            if (known.pendingOrder === undefined) {
                known.machine = machine;
            }
        }
        if (!this.loaded) {
            this.#logFirstList(found, complete);
        }
        this.loaded = true;
    }

    #logFirstList(found: readonly Machine[], complete: boolean): void {
        const named = new Set(found.map(({ server }) => server));
        this.shared.log.info("machines-listed", {
            count: found.length,
            complete,
            withoutServer: found.filter(({ server }) => server === "").length,
            // Servers with runs that are on none of the machines.
            unnamed: [...this.fleet.sessions.values()]
                .filter(server => server.runs.size > 0 && !named.has(server.entry.id))
                .map(server => server.entry.id),
        });
    }

    /** Removes the machines that are gone; one for which an order is in flight is kept until its outcome is known. */
    #countMissedReads(listed: ReadonlySet<string>): void {
        for (const [id, managed] of this.machines) {
            if (listed.has(id)) {
                continue;
            }
            managed.missedReads += 1;
            if (managed.missedReads >= serverLosses.missedListsUntilGone && managed.pendingOrder === undefined) {
                this.machines.delete(id);
                this.shared.log.info("machine-gone", { machine: id, pool: managed.machine.pool });
            }
        }
    }
}
