/**
 * The machines under the backend servers, as the platform lists them and as orders have changed them since.
 */
import * as platform from "@catkinwharf/platform";
import type * as context from "./context.js";
import type * as fleet from "./fleet.js";
import * as machineOrders from "./machine-orders.js";
import type * as session from "./server-session.js";

export type Machine = platform.machineCalls.Machine;

/** Time in ms between two readings of the list of machines. */
export const listInterval = 400;

export interface KeptMachine {
    machine: Machine;
    /** An order that is under way. */
    ordered: "move" | "maintenance" | undefined;
    /** On the steady clock: since when nothing runs there. */
    emptySince: number | undefined;
}

export class MachinePark {
    readonly machines = new Map<string, KeptMachine>();
    /** The list has been read once. */
    listed = false;
    #lastList = Number.NEGATIVE_INFINITY;
    #listing = false;
    #stopped = false;

    constructor(
        private readonly shared: context.CoordinatorContext,
        private readonly fleet: fleet.Fleet,
        private readonly orders: machineOrders.MachineOrders,
    ) {}

    stop(): void {
        this.#stopped = true;
    }

    /** Reads the list when it is time to, at `now` on the steady clock, ms. */
    keepCurrent(now: number): void {
        if (now - this.#lastList >= listInterval && !this.#listing) {
            this.#lastList = now;
            this.#listing = true;
            void this.#list().finally(() => this.#listing = false);
        }
    }

    /** Notes since when nothing runs on each machine, at `now` on the steady clock, ms. */
    noteEmpty(now: number): void {
        for (const kept of this.machines.values()) {
            const server = this.findServer(kept);
            const empty = server === undefined ? kept.machine.server === "" : server.runs.size === 0;
            kept.emptySince = empty ? kept.emptySince ?? now : undefined;
        }
    }

    findServer(kept: KeptMachine): session.ServerSession | undefined {
        return kept.machine.server === "" ? undefined : this.fleet.sessions.get(kept.machine.server);
    }

    /** Up, known to the fleet or off, and without an order under way. */
    isAvailable(kept: KeptMachine): boolean {
        if (
            kept.ordered !== undefined || this.orders.isHeld(kept.machine.id)
            || kept.machine.state !== platform.machineCalls.MachineState.up
        ) {
            return false;
        }
        const server = this.findServer(kept);
        return server === undefined
            ? kept.machine.server === ""
            : server.reachable && !server.entry.draining && !server.unlisted;
    }

    /**
     * Orders a machine, which gets no new tasks from here on; returns what became of the order.
     *
     * @param after the machine as it is once the order is carried out
     */
    async order(
        kept: KeptMachine,
        kind: "move" | "maintenance",
        createCall: machineOrders.MachineOrder["createCall"],
        after: Machine,
    ): Promise<string> {
        const server = this.findServer(kept);
        const wasReserved = server?.reserved ?? false;
        kept.ordered = kind;
        if (server !== undefined) {
            server.reserved = true;
            server.load.open = false;
        }
        const outcome = await this.orders.give({
            machine: kept.machine.id,
            isInUse: () => server !== undefined && server.runs.size > 0,
            createCall,
        });
        kept.ordered = undefined;
        if (outcome === machineOrders.OrderOutcome.done) {
            kept.machine = after;
        }
        else if (server !== undefined) {
            server.reserved = wasReserved;
        }
        return outcome;
    }

    async #list(): Promise<void> {
        const { calls, settings, log } = this.shared;
        const found: Machine[] = [];
        let page: string | undefined;
        do {
            const answer = await calls.send(
                settings.machinesAddress!,
                platform.machineCalls.createList(page),
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
            page = decoded.next;
        }
        while (page !== undefined && !this.#stopped);
        this.#applyList(found);
    }

    #applyList(found: readonly Machine[]): void {
        const ids = new Set(found.map(machine => machine.id));
        for (const id of [...this.machines.keys()]) {
            if (!ids.has(id)) {
                this.machines.delete(id);
            }
        }
        for (const machine of found) {
            const known = this.machines.get(machine.id);
            if (known === undefined) {
                this.machines.set(machine.id, { machine, ordered: undefined, emptySince: undefined });
            }
            else if (known.ordered === undefined) {
                if (known.machine.server !== "" && machine.server !== known.machine.server) {
                    this.fleet.noteEnded(known.machine.server, `machine ${machine.id} is ${machine.state}`);
                }
                known.machine = machine;
            }
        }
        this.listed = true;
    }
}
