/**
 * Carries out maintenance waves: empties their machines, orders their maintenance, and tells the operator how far each is.
 */
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as storeClient from "@catkinwharf/store";
import * as timers from "node:timers/promises";
import type * as context from "./context.js";
import * as machineOrders from "./machine-orders.js";
import * as machinePark from "./machine-park.js";
import type * as session from "./server-session.js";

/** Time in ms before a wave's state that couldn't be stored is written again. */
const statusRetryDelay = 300;

export interface WaveParts {
    readonly shared: context.CoordinatorContext;
    readonly park: machinePark.MachinePark;
    readonly store: storeClient.StoreClient;
    /** Empty machines that no pool needs, by the last plan of the pools. */
    readonly surplus: () => ReadonlySet<string>;
    /** Stops long-running tasks of a reserved server as far as their steps bear it. */
    readonly vacate: (server: session.ServerSession) => void;
    /** Runs there that may never be taken away. */
    readonly isPinned: (server: session.ServerSession) => boolean;
}

interface OpenWave {
    readonly wave: platform.operatorRecords.Wave;
    readonly begun: Set<string>;
    /** Ordered and not seen back yet. */
    readonly out: Map<string, number>;
    status: "none" | "running" | "completed";
    /** On the steady clock: when it was seen, at the latest. */
    seenAt: number;
}

export class WaveKeeper {
    readonly #waves = new Map<number, OpenWave>();
    #stopped = false;

    constructor(private readonly parts: WaveParts) {}

    stop(): void {
        this.#stopped = true;
    }

    /** Whether a wave waits for the machine's maintenance. */
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

    /** Takes over how far a wave was. */
    restore(number: number, before: jobState.WaveProgress): void {
        const open = this.#waves.get(number);
        if (open !== undefined) {
            const { clock } = this.parts.shared;
            before.begun.forEach(machine => open.begun.add(machine));
            open.status = before.completed ? "completed" : "running";
            const passed = Math.min(open.wave.duration, Math.max(0, clock.wall() - before.seenAt));
            open.seenAt = clock.steady() - passed;
        }
    }

    /** Takes the next steps; orders only where `mayOrder`. */
    work(mayOrder: boolean): void {
        for (const open of this.#waves.values()) {
            if (open.status === "completed") {
                continue;
            }
            if (open.status === "none") {
                open.status = "running";
                void this.#writeStatus(open, false);
            }
            const now = this.parts.shared.clock.steady();
            this.#noteReturns(open, now);
            const plan = scheduling.planWave(this.#describeWave(open), {
                maxOut: open.wave.maxOut,
                left: open.seenAt + open.wave.duration - now,
                maintenance: this.parts.shared.settings.bounds.maintenance,
            });
            for (const id of plan.reserve) {
                const server = this.parts.park.findServer(this.parts.park.machines.get(id)!);
                if (server !== undefined) {
                    server.reserved = true;
                }
            }
            for (const id of open.wave.machines) {
                const kept = this.parts.park.machines.get(id);
                const server = kept === undefined || open.begun.has(id) ? undefined : this.parts.park.findServer(kept);
                if (server?.reserved === true && server.runs.size > 0) {
                    this.parts.vacate(server);
                }
            }
            if (mayOrder) {
                plan.maintain.forEach(id => void this.#maintain(open, this.parts.park.machines.get(id)!));
            }
            if (plan.complete && open.out.size === 0) {
                open.status = "completed";
                void this.#writeStatus(open, true);
            }
        }
    }

    /** Machines that are back from maintenance no longer count as out. */
    #noteReturns(open: OpenWave, now: number): void {
        for (const [id, orderedAt] of open.out) {
            const kept = this.parts.park.machines.get(id);
            const back = kept === undefined
                || (kept.ordered === undefined && kept.machine.state === platform.machineCalls.MachineState.up
                    && now - orderedAt > this.parts.shared.settings.bounds.maintenance + machinePark.listInterval);
            if (back) {
                open.out.delete(id);
            }
        }
    }

    #describeWave(open: OpenWave): scheduling.WaveInstance[] {
        return open.wave.machines.flatMap(id => {
            const kept = this.parts.park.machines.get(id);
            if (kept === undefined) {
                return [];
            }
            const server = this.parts.park.findServer(kept);
            return [{
                id,
                begun: open.begun.has(id),
                out: open.out.has(id) || kept.machine.state === platform.machineCalls.MachineState.maintenance,
                available: this.parts.park.isAvailable(kept),
                runs: server?.runs.size ?? 0,
                longRunningRuns: server?.load.longRunningTasks ?? 0,
                reserved: server?.reserved ?? false,
                pinned: server !== undefined && this.parts.isPinned(server),
                idle: this.parts.surplus().has(id),
            }];
        });
    }

    async #maintain(open: OpenWave, kept: machinePark.KeptMachine): Promise<void> {
        open.out.set(kept.machine.id, this.parts.shared.clock.steady());
        const ordered = await this.parts.park.order(
            kept,
            "maintenance",
            holder => platform.machineCalls.createMaintenance(kept.machine.id, open.wave.number, holder),
            { ...kept.machine, state: platform.machineCalls.MachineState.maintenance },
        );
        this.parts.shared.log.info("machine-maintained", {
            machine: kept.machine.id,
            wave: open.wave.number,
            outcome: ordered,
        });
        if (ordered === machineOrders.OrderOutcome.done || ordered === platform.machineCalls.MachineRefusal.notOfWave) {
            open.begun.add(kept.machine.id);
            open.out.set(kept.machine.id, this.parts.shared.clock.steady());
            this.parts.shared.writer.add(
                this.#encodeProgress(open, false),
            );
        }
        else {
            open.out.delete(kept.machine.id);
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
