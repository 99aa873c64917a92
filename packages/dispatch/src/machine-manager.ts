/**
 * Manages the machines of the backend servers: moves empty machines between pools as demand requires, and carries out
 * maintenance waves.
 */
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as storeClient from "@catkinwharf/store";
import type * as context from "./context.js";
import * as dutyCycle from "./duty-cycle.js";
import type * as fleet from "./fleet.js";
import * as machineInventory from "./machine-inventory.js";
import * as machineOrders from "./machine-orders.js";
import type * as session from "./server-session.js";
import * as waveExecutor from "./wave-executor.js";

/** Time in ms between two log lines on each pool. */
const reportInterval = 1000;
/** Largest share of the process's time that plans of the pools may take. */
const maxPlanShare = 0.1;
/**
 * Time in ms before a new coordinator orders machines while servers haven't told it which tasks run on them: without
 * these servers, it would take pools for smaller than they are.
 */
const firstOrderDelay = 400;

export interface MachineManagerParts {
    readonly shared: context.CoordinatorContext;
    readonly fleet: fleet.Fleet;
    readonly store: storeClient.StoreClient;
    readonly listDemands: () => scheduling.PoolDemand[];
    /**
     * For each machine, the latest time at which an earlier coordinator can have ordered it, on the monotonic clock.
     */
    readonly earlierOrderTimes: ReadonlyMap<string, number>;
    /** Since when the demand is known, on the monotonic clock; `undefined` before the first job. */
    readonly demandKnownSince: () => number | undefined;
    /** Whether every listed server has told which tasks run on it. */
    readonly isEveryServerKnown: () => boolean;
    /** Stops one long-running task of a server that is being emptied, if its step can spare one now. */
    readonly relocateTask: (server: session.ServerSession) => void;
    /** Whether the server runs a long-running task whose step allows no unavailable task. */
    readonly isPinned: (server: session.ServerSession) => boolean;
}

export class MachineManager {
    readonly waves: waveExecutor.WaveExecutor;
    readonly #orders: machineOrders.MachineOrders;
    readonly #inventory: machineInventory.MachineInventory;
    /** Empty machines that no pool needs, by the last plan of the pools. */
    #surplus: ReadonlySet<string> = new Set();
    readonly #peakNeed = new scheduling.PeakNeed(scheduling.defaultPoolPolicy.peakWindow);
    #lastReport = Number.NEGATIVE_INFINITY;
    readonly #planCycle = new dutyCycle.DutyCycle(maxPlanShare);

    constructor(private readonly parts: MachineManagerParts) {
        const { shared, store, relocateTask, isPinned } = parts;
        this.#orders = new machineOrders.MachineOrders(shared, parts.earlierOrderTimes);
        this.#inventory = new machineInventory.MachineInventory(shared, parts.fleet, this.#orders);
        this.waves = new waveExecutor.WaveExecutor({
            shared,
            store,
            inventory: this.#inventory,
            surplus: () => this.#surplus,
            relocateTask,
            isPinned,
        });
    }

    /** Whether there are empty machines that no pool needs, by the last plan of the pools. */
    get hasSurplus(): boolean {
        return this.#surplus.size > 0;
    }

    stop(): void {
        this.#orders.stop();
        this.#inventory.stop();
        this.waves.stop();
    }

    /** Starts no more orders. Returns whether all orders in flight were finished within `timeout` ms. */
    close(timeout: number): Promise<boolean> {
        return this.#orders.close(timeout);
    }

    /** Marks the servers that an earlier coordinator's order may still take away. */
    markServersOrderedAway(): void {
        this.#inventory.markServersOrderedAway();
    }

    /** Reads the list of machines, which the first tick needs. */
    prepare(): void {
        if (this.parts.shared.settings.machinesAddress !== undefined) {
            this.#inventory.refreshIfDue(this.parts.shared.clock.monotonic());
        }
    }

    tick(): void {
        const { clock, settings, termStartedAt: claimedAt } = this.parts.shared;
        const now = clock.monotonic();
        if (settings.machinesAddress === undefined) {
            return;
        }
        this.#inventory.refreshIfDue(now);
        if (!this.#inventory.loaded) {
            return;
        }
        const mayOrder = !this.#orders.closing
            && (now - claimedAt >= firstOrderDelay || this.parts.isEveryServerKnown());
        this.#inventory.updateEmptySince(now);
        if (mayOrder && this.#planCycle.computeRest(now) === 0) {
            this.#planCycle.begin(now);
            this.#rebalancePools(now);
            this.#planCycle.end(clock.monotonic());
        }
        this.waves.advance(mayOrder);
    }

    #rebalancePools(now: number): void {
        if (this.parts.demandKnownSince() === undefined) {
            return; // Pools stay as the operator configured them until the demand is known.
        }
        const demands = this.parts.listDemands();
        const unreachableZones = this.#listUnreachableZones();
        const instances = [...this.#inventory.machines.values()].map(managed =>
            this.#describeInstance(managed, unreachableZones)
        );
        const reserve = this.#peakNeed.find(now);
        const plan = scheduling.planMoves(demands, instances, scheduling.defaultPoolPolicy, reserve, now);
        const standby = demands.find(demand => demand.standby)?.service;
        const inService = instances.filter(instance => instance.pool !== standby);
        const atWork = inService.filter(instance => instance.emptySince === undefined).length;
        this.#peakNeed.record(scheduling.defaultPoolPolicy.peakHeadroom * atWork, now, inService.length);
        if (now - this.#lastReport >= reportInterval) {
            this.#lastReport = now;
            this.#logPools(demands, instances);
            // Without a reserve nothing moves to standby yet, as the need of a whole window isn't known.
            const known = Number.isFinite(reserve) ? Math.round(reserve) : undefined;
            this.parts.shared.log.info("pools-planned", { needed: plan.needed, atWork, reserve: known });
        }
        this.#surplus = new Set(plan.surplus);
        this.#updateReleased(new Set(plan.toDrain));
        for (const move of plan.moves) {
            void this.#move(this.#inventory.machines.get(move.instance)!, move.to);
        }
    }

    /** Servers on these machines get no new tasks until they are empty and move, or a later plan keeps them. */
    #updateReleased(machines: ReadonlySet<string>): void {
        for (const managed of this.#inventory.machines.values()) {
            const server = this.#inventory.findServer(managed);
            const released = machines.has(managed.machine.id);
            if (server !== undefined && server.releasedByPool !== released) {
                server.releasedByPool = released;
                this.parts.shared.log.info("server-released", {
                    server: server.entry.id,
                    service: server.entry.service,
                    released,
                    runs: server.runs.size,
                });
            }
        }
    }

    /** Logs the figures that decide the moves. */
    #logPools(demands: readonly scheduling.PoolDemand[], instances: readonly scheduling.PoolInstance[]): void {
        for (const demand of demands) {
            const held = instances.filter(instance => instance.pool === demand.service);
            this.parts.shared.log.info("pool", {
                service: demand.service,
                held: held.length,
                available: held.filter(instance => instance.available).length,
                arriving: held.filter(instance => instance.beingMovedIn).length,
                empty: held.filter(instance => instance.emptySince !== undefined).length,
                free: Math.round(this.#measureFreeCores(demand.service)),
                demand: Math.round(demand.arrivingCores),
                backlog: Math.round(demand.backlog),
                floor: demand.floor,
            });
        }
    }

    /** Free cores of the service's servers that may get new tasks. */
    #measureFreeCores(service: string): number {
        let free = 0;
        for (const { entry, load } of this.parts.fleet.sessions.values()) {
            free += entry.service === service && load.acceptsTasks ? load.freeCpu / 1000 : 0;
        }
        return free;
    }

    /** Availability zones in which most of the servers that should be up are unreachable. */
    #listUnreachableZones(): Set<string> {
        const balances = new Map<string, number>();
        for (const managed of this.#inventory.machines.values()) {
            const { availabilityZone, server, state } = managed.machine;
            if (
                server !== "" && state === platform.machineCalls.MachineState.up && managed.pendingOrder === undefined
            ) {
                const reached = this.#inventory.findServer(managed)?.reachable === true;
                balances.set(availabilityZone, (balances.get(availabilityZone) ?? 0) + (reached ? 1 : -1));
            }
        }
        return new Set(
            [...balances].filter(([, balance]) => balance < 0).map(([availabilityZone]) => availabilityZone),
        );
    }

    /** Describes a machine for the plan of the pools, with or without a backend server on it. */
    #describeInstance(
        managed: machineInventory.ManagedMachine,
        unreachableZones: ReadonlySet<string>,
    ): scheduling.PoolInstance {
        const server = this.#inventory.findServer(managed);
        return {
            id: managed.machine.id,
            pool: managed.machine.pool,
            available: this.#inventory.canBeOrdered(managed) && server?.reservedForOrder !== true,
            beingMovedIn: managed.pendingOrder === "move"
                || managed.machine.state === platform.machineCalls.MachineState.moving,
            // Time in which the demand was unknown or callers couldn't submit jobs doesn't show that it isn't needed.
            emptySince: managed.emptySince === undefined
                ? undefined
                : Math.max(
                    managed.emptySince,
                    this.parts.demandKnownSince() ?? 0,
                    this.#orders.storeUnavailableUntil,
                ),
            busyFor: server?.estimateBusyTime(this.parts.shared.clock.monotonic()) ?? 0,
            cores: managed.machine.cpu / 1000,
            maintenanceDue: this.waves.isDue(managed.machine.id),
            zoneUnreachable: unreachableZones.has(managed.machine.availabilityZone),
        };
    }

    async #move(managed: machineInventory.ManagedMachine, to: string): Promise<void> {
        const from = managed.machine.pool;
        const outcome = await this.#inventory.order(
            managed,
            "move",
            holder => platform.machineCalls.createMoveCall(managed.machine.id, to, holder),
            { ...managed.machine, pool: to, state: platform.machineCalls.MachineState.moving, server: "" },
        );
        this.parts.shared.log.info("machine-moved", { machine: managed.machine.id, from, to, outcome });
    }
}
