/**
 * Keeps the machines under the backend servers: moves empty ones between pools as the demand asks, and lets waves maintain
 * them.
 */
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as storeClient from "@catkinwharf/store";
import type * as context from "./context.js";
import type * as fleet from "./fleet.js";
import * as machineOrders from "./machine-orders.js";
import * as machinePark from "./machine-park.js";
import type * as session from "./server-session.js";
import * as waveKeeper from "./wave-keeper.js";

/** Time in ms between two lines on the pools. */
const reportInterval = 1000;
/** Time in ms before a new coordinator orders machines; by then it knows what runs on them. */
const orderPatience = 400;

export interface KeeperParts {
    readonly shared: context.CoordinatorContext;
    readonly fleet: fleet.Fleet;
    readonly store: storeClient.StoreClient;
    readonly listDemands: () => scheduling.PoolDemand[];
    /** On the steady clock: when earlier coordinators ordered machines, at the latest. */
    readonly earlierOrders: ReadonlyMap<string, number>;
    /** On the steady clock: since when the demand is known; `undefined` before the first job. */
    readonly knownSince: () => number | undefined;
    /** Stops long-running tasks of a reserved server as far as their steps bear it. */
    readonly vacate: (server: session.ServerSession) => void;
    /** Runs there that may never be taken away. */
    readonly isPinned: (server: session.ServerSession) => boolean;
}

export class Keeper {
    readonly waves: waveKeeper.WaveKeeper;
    readonly #orders: machineOrders.MachineOrders;
    readonly #park: machinePark.MachinePark;
    /** Empty machines that no pool needs, by the last plan of the pools. */
    #surplus: ReadonlySet<string> = new Set();
    #lastReport = Number.NEGATIVE_INFINITY;

    constructor(private readonly parts: KeeperParts) {
        const { shared, store, vacate, isPinned } = parts;
        this.#orders = new machineOrders.MachineOrders(shared, parts.earlierOrders);
        this.#park = new machinePark.MachinePark(shared, parts.fleet, this.#orders);
        this.waves = new waveKeeper.WaveKeeper({
            shared,
            store,
            park: this.#park,
            surplus: () => this.#surplus,
            vacate,
            isPinned,
        });
    }

    stop(): void {
        this.#orders.stop();
        this.#park.stop();
        this.waves.stop();
    }

    /** Gives no more orders. Returns whether all that were given have been answered within `patience` ms. */
    close(patience: number): Promise<boolean> {
        return this.#orders.close(patience);
    }

    tick(): void {
        const { clock, settings, claimedAt } = this.parts.shared;
        const now = clock.steady();
        if (settings.machinesAddress === undefined) {
            return;
        }
        this.#park.keepCurrent(now);
        if (!this.#park.listed) {
            return;
        }
        const mayOrder = !this.#orders.closing && now - claimedAt >= orderPatience;
        this.#park.noteEmpty(now);
        if (mayOrder) {
            this.#workOnPools(now);
        }
        this.waves.work(mayOrder);
    }

    #workOnPools(now: number): void {
        if (this.parts.knownSince() === undefined) {
            return; // Pools stay as the operator laid them until something is known of the demand.
        }
        const demands = this.parts.listDemands();
        const doubtful = this.#listDoubtfulZones();
        const instances = [...this.#park.machines.values()].map(kept => this.#describeInstance(kept, doubtful));
        if (now - this.#lastReport >= reportInterval) {
            this.#lastReport = now;
            this.#report(demands, instances);
        }
        const plan = scheduling.planMoves(demands, instances, scheduling.defaultPoolPolicy, now);
        this.#surplus = new Set(plan.surplus);
        this.#release(new Set(plan.release));
        for (const move of plan.moves) {
            void this.#move(this.#park.machines.get(move.instance)!, move.to);
        }
    }

    /** Servers on these machines get no new tasks, until they are empty and move or a later plan wants them again. */
    #release(machines: ReadonlySet<string>): void {
        for (const kept of this.#park.machines.values()) {
            const server = this.#park.findServer(kept);
            const released = machines.has(kept.machine.id);
            if (server !== undefined && server.released !== released) {
                server.released = released;
                this.parts.shared.log.info("server-released", {
                    server: server.entry.id,
                    service: server.entry.service,
                    released,
                    runs: server.runs.size,
                });
            }
        }
    }

    /** Says what the moves are decided by. */
    #report(demands: readonly scheduling.PoolDemand[], instances: readonly scheduling.PoolInstance[]): void {
        for (const demand of demands) {
            const held = instances.filter(instance => instance.pool === demand.service);
            this.parts.shared.log.info("pool", {
                service: demand.service,
                held: held.length,
                available: held.filter(instance => instance.available).length,
                arriving: held.filter(instance => instance.arriving).length,
                empty: held.filter(instance => instance.emptySince !== undefined).length,
                free: Math.round(this.#measureFreeCores(demand.service)),
                demand: Math.round(demand.arriving),
                backlog: Math.round(demand.backlog),
                floor: demand.floor,
            });
        }
    }

    /** Cores that servers which may get tasks have left. */
    #measureFreeCores(service: string): number {
        let free = 0;
        for (const { entry, load } of this.parts.fleet.sessions.values()) {
            free += entry.service === service && load.open ? load.freeCpu / 1000 : 0;
        }
        return free;
    }

    /** Availability zones of which most servers that should be up are out of reach. */
    #listDoubtfulZones(): Set<string> {
        const balances = new Map<string, number>();
        for (const kept of this.#park.machines.values()) {
            const { availabilityZone, server, state } = kept.machine;
            if (server !== "" && state === platform.machineCalls.MachineState.up && kept.ordered === undefined) {
                const reached = this.#park.findServer(kept)?.reachable === true;
                balances.set(availabilityZone, (balances.get(availabilityZone) ?? 0) + (reached ? 1 : -1));
            }
        }
        return new Set(
            [...balances].filter(([, balance]) => balance < 0).map(([availabilityZone]) => availabilityZone),
        );
    }

    #describeInstance(kept: machinePark.KeptMachine, doubtfulZones: ReadonlySet<string>): scheduling.PoolInstance {
        const server = this.#park.findServer(kept);
        return {
            id: kept.machine.id,
            pool: kept.machine.pool,
            available: this.#park.isAvailable(kept) && server?.reserved !== true,
            arriving: kept.ordered === "move" || kept.machine.state === platform.machineCalls.MachineState.moving,
            emptySince: kept.emptySince === undefined
                ? undefined
                : Math.max(kept.emptySince, this.parts.knownSince() ?? 0, this.#orders.blindUntil),
            busyFor: server?.estimateBusyTime(this.parts.shared.clock.steady()) ?? 0,
            cores: kept.machine.cpu / 1000,
            due: this.waves.isDue(kept.machine.id),
            doubtful: doubtfulZones.has(kept.machine.availabilityZone),
        };
    }

    async #move(kept: machinePark.KeptMachine, to: string): Promise<void> {
        const from = kept.machine.pool;
        const outcome = await this.#park.order(
            kept,
            "move",
            holder => platform.machineCalls.createMove(kept.machine.id, to, holder),
            { ...kept.machine, pool: to, state: platform.machineCalls.MachineState.moving, server: "" },
        );
        this.parts.shared.log.info("machine-moved", { machine: kept.machine.id, from, to, outcome });
    }
}
