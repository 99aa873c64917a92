/**
 * Carries out maintenance waves: empties their machines, orders the maintenance, and reports each wave's status to the
 * operator.
 */
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as storeClient from "@catkinwharf/store";
import type * as context from "./context.js";
import * as epochAppender from "./epoch-appender.js";
import * as machineInventory from "./machine-inventory.js";
import * as machineOrders from "./machine-orders.js";
import type * as session from "./server-session.js";

export interface WaveExecutorParts {
    readonly shared: context.CoordinatorContext;
    readonly inventory: machineInventory.MachineInventory;
    readonly store: storeClient.StoreClient;
    /** Empty machines that no pool needs, by the last plan of the pools. */
    readonly surplus: () => ReadonlySet<string>;
    /** Stops one long-running task of a server that is being emptied, if its step can spare one now. */
    readonly relocateTask: (server: session.ServerSession) => void;
    /** Whether the server runs a long-running task whose step allows no unavailable task. */
    readonly isPinned: (server: session.ServerSession) => boolean;
}

type WaveStatus = "none" | "running" | "completed";

/** A wave that the operator requested, and its progress. */
interface TrackedWave {
    readonly wave: platform.operatorRecords.Wave;
    /**
     * Machines whose order for maintenance was carried out, or refused as `notOfWave`; none of them is ordered again.
     */
    readonly begun: Set<string>;
    /** Machines ordered into maintenance that haven't returned, with the time of the order on the monotonic clock. */
    readonly out: Map<string, number>;
    status: WaveStatus;
    /** Status that this coordinator has last reported; it also reports one that an earlier coordinator reached. */
    reported: WaveStatus;
    /**
     * On the monotonic clock: latest time at which a coordinator can have first seen the wave; its duration counts from
     * then.
     */
    seenAt: number;
}

export class WaveExecutor {
    readonly #waves = new Map<number, TrackedWave>();
    readonly #statusAppender: epochAppender.EpochAppender;
    /** Statuses that aren't stored yet, by wave; a later one replaces an earlier one. */
    readonly #unstoredStatuses = new Map<number, jobState.KeyedRecord>();
    #writingStatuses = false;

    constructor(private readonly parts: WaveExecutorParts) {
        const { shared, store } = parts;
        this.#statusAppender = new epochAppender.EpochAppender(
            store,
            platform.storeCalls.waveStatusTopic,
            shared.claim,
            outcome => shared.stepDown(`the store refused a wave status of this epoch: ${outcome}`),
        );
    }

    stop(): void {
        this.#statusAppender.stop();
    }

    /** Whether a wave still has to order the machine's maintenance. */
    isDue(machine: string): boolean {
        for (const tracked of this.#waves.values()) {
            if (tracked.wave.machines.includes(machine) && !tracked.begun.has(machine)) {
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
                reported: "none",
                seenAt: known?.seenAt ?? this.parts.shared.clock.monotonic(),
            });
        }
    }

    /** Restores the progress of a wave that an earlier coordinator stored. */
    restore(number: number, stored: jobState.WaveProgress): void {
        const tracked = this.#waves.get(number);
        if (tracked !== undefined) {
            const { clock } = this.parts.shared;
            stored.begun.forEach(machine => tracked.begun.add(machine));
            tracked.status = stored.completed ? "completed" : "running";
            const elapsed = Math.min(tracked.wave.duration, Math.max(0, clock.wall() - stored.seenAt));
            tracked.seenAt = clock.monotonic() - elapsed;
        }
    }

    /** Takes the next steps of all waves; orders maintenance only if `mayOrder`. */
    advance(mayOrder: boolean): void {
        for (const tracked of this.#waves.values()) {
            if (tracked.status === "none") {
                tracked.status = "running";
            }
            if (tracked.reported !== tracked.status) {
                this.#reportStatus(tracked);
            }
            if (tracked.status === "completed") {
                continue;
            }
            const now = this.parts.shared.clock.monotonic();
            this.#recordReturns(tracked, now);
            const plan = scheduling.planWave(this.#describeWave(tracked), {
                maxOut: tracked.wave.maxOut,
                remainingTime: tracked.seenAt + tracked.wave.duration - now,
                maintenanceTime: this.parts.shared.settings.bounds.maintenance,
            });
            for (const id of plan.toDrain) {
                const server = this.parts.inventory.findServer(this.parts.inventory.machines.get(id)!);
                if (server !== undefined) {
                    server.reservedForOrder = true;
                }
            }
            for (const id of tracked.wave.machines) {
                const managed = this.parts.inventory.machines.get(id);
                const server = managed === undefined || tracked.begun.has(id)
                    ? undefined
                    : this.parts.inventory.findServer(managed);
                if (server?.reservedForOrder === true && server.runs.size > 0) {
                    this.parts.relocateTask(server);
                }
            }
            if (mayOrder) {
                plan.maintain.forEach(id => void this.#maintain(tracked, this.parts.inventory.machines.get(id)!));
            }
            if (plan.allBegun && tracked.out.size === 0) {
                tracked.status = "completed";
                this.#reportStatus(tracked);
            }
        }
    }

    /** A machine that has returned from maintenance no longer counts as out of service. */
    #recordReturns(tracked: TrackedWave, now: number): void {
        for (const [id, orderedAt] of tracked.out) {
            const managed = this.parts.inventory.machines.get(id);
            const hasReturned = this.parts.inventory.isGone(id)
                || (managed !== undefined && managed.pendingOrder === undefined && managed.missedReads === 0
                    && managed.machine.state === platform.machineCalls.MachineState.up
                    && now - orderedAt
                        > this.parts.shared.settings.bounds.maintenance + machineInventory.refreshInterval);
            if (hasReturned) {
                tracked.out.delete(id);
            }
        }
    }

    #describeWave(tracked: TrackedWave): scheduling.WaveInstance[] {
        return tracked.wave.machines.filter(id => !this.parts.inventory.isGone(id)).map(id => {
            const managed = this.parts.inventory.machines.get(id);
            if (managed === undefined) {
                return describeUnlisted(id, tracked.begun.has(id));
            }
            const server = this.parts.inventory.findServer(managed);
            return {
                id,
                begun: tracked.begun.has(id),
                out: tracked.out.has(id) || managed.machine.state === platform.machineCalls.MachineState.maintenance,
                available: this.parts.inventory.canBeOrdered(managed),
                runs: server?.runs.size ?? 0,
                longRunningRuns: server?.load.longRunningRunCount ?? 0,
                beingDrained: server?.reservedForOrder ?? false,
                pinned: server !== undefined && this.parts.isPinned(server),
                surplus: this.parts.surplus().has(id),
            };
        });
    }

    async #maintain(tracked: TrackedWave, managed: machineInventory.ManagedMachine): Promise<void> {
        tracked.out.set(managed.machine.id, this.parts.shared.clock.monotonic());
        const outcome = await this.parts.inventory.order(
            managed,
            "maintenance",
            holder => platform.machineCalls.createMaintenanceCall(managed.machine.id, tracked.wave.number, holder),
            { ...managed.machine, state: platform.machineCalls.MachineState.maintenance },
        );
        this.parts.shared.log.info("machine-maintained", {
            machine: managed.machine.id,
            wave: tracked.wave.number,
            outcome,
        });
        if (outcome === machineOrders.OrderOutcome.done || outcome === platform.machineCalls.MachineRefusal.notOfWave) {
            tracked.begun.add(managed.machine.id);
            tracked.out.set(managed.machine.id, this.parts.shared.clock.monotonic());
            this.parts.shared.writer.add(
                this.#encodeProgress(tracked, false),
            );
        }
        else {
            tracked.out.delete(managed.machine.id);
        }
    }

    #encodeProgress(tracked: TrackedWave, completed: boolean): jobState.KeyedRecord {
        const { clock } = this.parts.shared;
        return jobState.encodeWaveProgress(tracked.wave.number, {
            begun: [...tracked.begun],
            completed,
            seenAt: clock.wall() - (clock.monotonic() - tracked.seenAt),
        });
    }

    /** Stores the wave's progress, then its status for the operator. */
    #reportStatus(tracked: TrackedWave): void {
        const { shared } = this.parts;
        const { number } = tracked.wave;
        const completed = tracked.status === "completed";
        tracked.reported = tracked.status;
        shared.log.info("wave-status", { wave: number, completed, begun: tracked.begun.size });
        shared.writer.add(this.#encodeProgress(tracked, completed));
        this.#unstoredStatuses.set(number, platform.operatorRecords.encodeWaveStatus(number, completed));
        if (!this.#writingStatuses) {
            this.#writingStatuses = true;
            void this.#writeStatuses();
        }
    }

    async #writeStatuses(): Promise<void> {
        try {
            while (this.#unstoredStatuses.size > 0 && await this.parts.shared.writer.flush()) {
                const records = [...this.#unstoredStatuses.values()];
                this.#unstoredStatuses.clear();
                await this.#statusAppender.append(records);
            }
        }
        finally {
            this.#writingStatuses = false;
        }
    }
}

/** A machine that no read has listed yet: an earlier coordinator may have ordered its maintenance. */
function describeUnlisted(id: string, begun: boolean): scheduling.WaveInstance {
    return {
        id,
        begun,
        out: true,
        available: false,
        runs: 0,
        longRunningRuns: 0,
        beingDrained: false,
        pinned: false,
        surplus: false,
    };
}
