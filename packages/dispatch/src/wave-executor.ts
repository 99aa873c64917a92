/**
 * Carries out maintenance waves: empties their machines, orders the maintenance, and reports each wave's status to the
 * operator.
 */
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as storeClient from "@catkinwharf/store";
import * as timers from "node:timers/promises";
import type * as context from "./context.js";
import * as machineInventory from "./machine-inventory.js";
import * as machineOrders from "./machine-orders.js";
import type * as session from "./server-session.js";

/** Time in ms before a wave status that couldn't be stored is written again. */
const statusRetryDelay = 300;

export interface WaveExecutorParts {
    readonly shared: context.CoordinatorContext;
    readonly inventory: machineInventory.MachineInventory;
    readonly store: storeClient.StoreClient;
    /** Empty machines that no pool needs, by the last plan of the pools. */
    readonly surplus: () => ReadonlySet<string>;
    /** Stops one long-running task of a server that is being emptied, if its step can spare one now. */
    readonly relocateTask: (server: session.ServerSession) => void;
    /** Whether the server runs a task that must never be stopped. */
    readonly isPinned: (server: session.ServerSession) => boolean;
}

/** A wave that the operator requested, and its progress. */
interface OpenWave {
    readonly wave: platform.operatorRecords.Wave;
    /** Machines whose maintenance has been ordered. */
    readonly begun: Set<string>;
    /** Machines that haven't returned from maintenance, with the time of their order on the steady clock. */
    readonly out: Map<string, number>;
    status: "none" | "running" | "completed";
    /** Latest time at which the wave can have been seen first, on the steady clock. */
    seenAt: number;
}

export class WaveExecutor {
    readonly #waves = new Map<number, OpenWave>();
    #stopped = false;

    constructor(private readonly parts: WaveExecutorParts) {}

    stop(): void {
        this.#stopped = true;
    }

    /** Whether a wave still has to order the machine's maintenance. */
    isDue(machine: string): boolean {
        for (const open of this.#waves.values()) {
            if (open.wave.machines.includes(machine) && !open.begun.has(machine)) {
                return true;
            }
        }
        return false;
    }

    apply(wave: platform.operatorRecords.Wave): void {
        const known = this.#waves.get(wave.number);
        if (known === undefined || known.wave.machines.join() !== wave.machines.join()) {
            this.parts.shared.log.info("wave-seen", {
                wave: wave.number,
                machines: wave.machines.length,
                maxOut: wave.maxOut,
                duration: wave.duration,
            });
            this.#waves.set(wave.number, {
                wave,
                begun: known?.begun ?? new Set(),
                out: known?.out ?? new Map(),
                status: "none",
                seenAt: known?.seenAt ?? this.parts.shared.clock.steady(),
            });
        }
    }

    /** Restores the progress of a wave that an earlier coordinator stored. */
    restore(number: number, stored: jobState.WaveProgress): void {
        const open = this.#waves.get(number);
        if (open !== undefined) {
            const { clock } = this.parts.shared;
            stored.begun.forEach(machine => open.begun.add(machine));
            open.status = stored.completed ? "completed" : "running";
            const elapsed = Math.min(open.wave.duration, Math.max(0, clock.wall() - stored.seenAt));
            open.seenAt = clock.steady() - elapsed;
        }
    }

    /** Takes the next steps of all waves; orders maintenance only if `mayOrder`. */
    advance(mayOrder: boolean): void {
        for (const open of this.#waves.values()) {
            if (open.status === "completed") {
                continue;
            }
            if (open.status === "none") {
                open.status = "running";
                void this.#writeStatus(open, false);
            }
            const now = this.parts.shared.clock.steady();
            this.#recordReturns(open, now);
            const plan = scheduling.planWave(this.#describeWave(open), {
                maxOut: open.wave.maxOut,
                remainingTime: open.seenAt + open.wave.duration - now,
                maintenanceTime: this.parts.shared.settings.bounds.maintenance,
            });
            for (const id of plan.reserve) {
                const server = this.parts.inventory.findServer(this.parts.inventory.machines.get(id)!);
                if (server !== undefined) {
                    server.reserved = true;
                }
            }
            for (const id of open.wave.machines) {
                const managed = this.parts.inventory.machines.get(id);
                const server = managed === undefined || open.begun.has(id)
                    ? undefined
                    : this.parts.inventory.findServer(managed);
                if (server?.reserved === true && server.runs.size > 0) {
                    this.parts.relocateTask(server);
                }
            }
            if (mayOrder) {
                plan.maintain.forEach(id => void this.#maintain(open, this.parts.inventory.machines.get(id)!));
            }
            if (plan.complete && open.out.size === 0) {
                open.status = "completed";
                void this.#writeStatus(open, true);
            }
        }
    }

    /** Removes machines that have returned from maintenance from those that are out. */
    #recordReturns(open: OpenWave, now: number): void {
        for (const [id, orderedAt] of open.out) {
            const managed = this.parts.inventory.machines.get(id);
            const hasReturned = managed === undefined
                || (managed.pendingOrder === undefined
                    && managed.machine.state === platform.machineCalls.MachineState.up
                    && now - orderedAt
                        > this.parts.shared.settings.bounds.maintenance + machineInventory.refreshInterval);
            if (hasReturned) {
                open.out.delete(id);
            }
        }
    }

    #describeWave(open: OpenWave): scheduling.WaveInstance[] {
        return open.wave.machines.flatMap(id => {
            const managed = this.parts.inventory.machines.get(id);
            if (managed === undefined) {
                return [];
            }
            const server = this.parts.inventory.findServer(managed);
            return [{
                id,
                begun: open.begun.has(id),
                out: open.out.has(id) || managed.machine.state === platform.machineCalls.MachineState.maintenance,
                available: this.parts.inventory.isAvailable(managed),
                runs: server?.runs.size ?? 0,
                longRunningRuns: server?.load.longRunningTasks ?? 0,
                reserved: server?.reserved ?? false,
                pinned: server !== undefined && this.parts.isPinned(server),
                idle: this.parts.surplus().has(id),
            }];
        });
    }

    async #maintain(open: OpenWave, managed: machineInventory.ManagedMachine): Promise<void> {
        open.out.set(managed.machine.id, this.parts.shared.clock.steady());
        const outcome = await this.parts.inventory.order(
            managed,
            "maintenance",
            holder => platform.machineCalls.createMaintenanceCall(managed.machine.id, open.wave.number, holder),
            { ...managed.machine, state: platform.machineCalls.MachineState.maintenance },
        );
        this.parts.shared.log.info("machine-maintained", {
            machine: managed.machine.id,
            wave: open.wave.number,
            outcome,
        });
        if (outcome === machineOrders.OrderOutcome.done || outcome === platform.machineCalls.MachineRefusal.notOfWave) {
            open.begun.add(managed.machine.id);
            open.out.set(managed.machine.id, this.parts.shared.clock.steady());
            this.parts.shared.writer.add(
                this.#encodeProgress(open, false),
            );
        }
        else {
            open.out.delete(managed.machine.id);
        }
    }

    #encodeProgress(open: OpenWave, completed: boolean): jobState.KeyedRecord {
        const { clock } = this.parts.shared;
        return jobState.encodeWaveProgress(open.wave.number, {
            begun: [...open.begun],
            completed,
            seenAt: clock.wall() - (clock.steady() - open.seenAt),
        });
    }

    async #writeStatus(open: OpenWave, completed: boolean): Promise<void> {
        const { shared, store } = this.parts;
        shared.log.info("wave-status", { wave: open.wave.number, completed, begun: open.begun.size });
        shared.writer.add(this.#encodeProgress(open, completed));
        const record = platform.operatorRecords.encodeWaveStatus(open.wave.number, completed);
        while (!this.#stopped && await shared.writer.flush()) {
            const answer = await store.append(platform.storeCalls.statusTopic, [record]);
            if (answer.isOk()) {
                return;
            }
            await timers.setTimeout(statusRetryDelay);
        }
    }
}
