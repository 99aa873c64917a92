/**
 * Keeps the machines under the backend servers: moves empty ones between pools, and carries out maintenance waves.
 *
 * Every order is preceded by an append under the coordinator's epoch, so a coordinator that has been succeeded, or that
 * slept, orders nothing. An order without an answer is repeated until it is answered; its machine stays reserved. One that
 * couldn't be sent soon, because the store was out, is dropped: what it was decided by no longer holds.
 */
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as storeClient from "@catkinwharf/store";
import * as clocks from "./clocks.js";
import type * as context from "./context.js";
import type * as fleet from "./fleet.js";
import type * as session from "./server-session.js";

type Machine = platform.machineCalls.Machine;

/** Time in ms between two readings of the list of machines. */
const listInterval = 400;
/** Time in ms for a call about machines. */
const machineTimeout = 900;
/** Time in ms between two lines on the pools. */
const reportInterval = 1000;
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

export interface KeptMachine {
    machine: Machine;
    /** An order that is under way. */
    ordered: "move" | "maintenance" | undefined;
    /** On the steady clock: since when nothing runs there. */
    emptySince: number | undefined;
    /** Wave for which it is due, and not begun. */
    due: boolean;
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

export class Keeper {
    readonly machines = new Map<string, KeptMachine>();
    readonly #waves = new Map<number, OpenWave>();
    /** Empty machines that no pool needs, by the last plan of the pools. */
    #surplus: ReadonlySet<string> = new Set();
    /** On the steady clock: until then nothing could be stored, and callers couldn't submit. Idle times count from here. */
    #blindUntil = Number.NEGATIVE_INFINITY;
    #lastReport = Number.NEGATIVE_INFINITY;
    #lastList = Number.NEGATIVE_INFINITY;
    #listing = false;
    #listed = false;
    #stopped = false;
    /** Gives no more orders; those under way are waited for. */
    #closing = false;
    #ordersUnderWay = 0;

    constructor(private readonly parts: KeeperParts) {}

    stop(): void {
        this.#stopped = true;
    }

    /** Gives no more orders. Returns whether all that were given have been answered within `patience` ms. */
    async close(patience: number): Promise<boolean> {
        this.#closing = true;
        const { clock } = this.parts.shared;
        const began = clock.steady();
        while (this.#ordersUnderWay > 0 && clock.steady() - began < patience) {
            await clocks.delay(closeLook);
        }
        return this.#ordersUnderWay === 0;
    }

    applyWave(wave: platform.operatorRecords.Wave): void {
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
    restoreWave(number: number, before: jobState.WaveProgress): void {
        const open = this.#waves.get(number);
        if (open !== undefined) {
            const { clock } = this.parts.shared;
            before.begun.forEach(machine => open.begun.add(machine));
            open.status = before.completed ? "completed" : "running";
            const passed = Math.min(open.wave.duration, Math.max(0, clock.wall() - before.seenAt));
            open.seenAt = clock.steady() - passed;
        }
    }

    tick(): void {
        const { clock, settings, claimedAt } = this.parts.shared;
        const now = clock.steady();
        if (settings.machinesAddress === undefined) {
            return;
        }
        if (now - this.#lastList >= listInterval && !this.#listing) {
            this.#lastList = now;
            this.#listing = true;
            void this.#list().finally(() => this.#listing = false);
        }
        const mayOrder = !this.#closing && now - claimedAt >= orderPatience;
        if (!this.#listed) {
            return;
        }
        this.#refresh(now);
        if (mayOrder) {
            this.#workOnPools(now);
        }
        this.#workOnWaves(mayOrder);
    }

    async #list(): Promise<void> {
        const { calls, settings, log } = this.parts.shared;
        const found: Machine[] = [];
        let page: string | undefined;
        do {
            const answer = await calls.send(
                settings.machinesAddress!,
                platform.machineCalls.createList(page),
                machineTimeout,
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
                this.machines.set(machine.id, { machine, ordered: undefined, emptySince: undefined, due: false });
            }
            else if (known.ordered === undefined) {
                if (known.machine.server !== "" && machine.server !== known.machine.server) {
                    this.parts.fleet.noteEnded(known.machine.server, `machine ${machine.id} is ${machine.state}`);
                }
                known.machine = machine;
            }
        }
        this.#listed = true;
    }

    #refresh(now: number): void {
        for (const kept of this.machines.values()) {
            const server = this.#findServer(kept);
            const empty = server === undefined ? kept.machine.server === "" : server.runs.size === 0;
            kept.emptySince = empty ? kept.emptySince ?? now : undefined;
            kept.due = false;
        }
        for (const open of this.#waves.values()) {
            for (const id of open.wave.machines) {
                const kept = this.machines.get(id);
                if (kept !== undefined && !open.begun.has(id)) {
                    kept.due = true;
                }
            }
        }
    }

    #findServer(kept: KeptMachine): session.ServerSession | undefined {
        return kept.machine.server === "" ? undefined : this.parts.fleet.sessions.get(kept.machine.server);
    }

    /** Another coordinator may have ordered the machine so lately that a second order would come too soon. */
    #isHeld(machine: string): boolean {
        const { clock, settings } = this.parts.shared;
        const orderedAt = this.parts.earlierOrders.get(machine);
        return orderedAt !== undefined && clock.steady() - orderedAt < settings.bounds.orderLease + orderLeaseMargin;
    }

    /** Up, known to the fleet or off, and without an order under way. */
    #isAvailable(kept: KeptMachine): boolean {
        if (
            kept.ordered !== undefined || this.#isHeld(kept.machine.id)
            || kept.machine.state !== platform.machineCalls.MachineState.up
        ) {
            return false;
        }
        const server = this.#findServer(kept);
        return server === undefined
            ? kept.machine.server === ""
            : server.reachable && !server.entry.draining && !server.unlisted;
    }

    #workOnWaves(mayOrder: boolean): void {
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
                const server = this.#findServer(this.machines.get(id)!);
                if (server !== undefined) {
                    server.reserved = true;
                }
            }
            for (const id of open.wave.machines) {
                const kept = this.machines.get(id);
                const server = kept === undefined || open.begun.has(id) ? undefined : this.#findServer(kept);
                if (server?.reserved === true && server.runs.size > 0) {
                    this.parts.vacate(server);
                }
            }
            if (mayOrder) {
                plan.maintain.forEach(id => void this.#maintain(open, this.machines.get(id)!));
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
            const kept = this.machines.get(id);
            const back = kept === undefined
                || (kept.ordered === undefined && kept.machine.state === platform.machineCalls.MachineState.up
                    && now - orderedAt > this.parts.shared.settings.bounds.maintenance + listInterval);
            if (back) {
                open.out.delete(id);
            }
        }
    }

    #describeWave(open: OpenWave): scheduling.WaveInstance[] {
        return open.wave.machines.flatMap(id => {
            const kept = this.machines.get(id);
            if (kept === undefined) {
                return [];
            }
            const server = this.#findServer(kept);
            return [{
                id,
                begun: open.begun.has(id),
                out: open.out.has(id) || kept.machine.state === platform.machineCalls.MachineState.maintenance,
                available: this.#isAvailable(kept),
                runs: server?.runs.size ?? 0,
                longRunningRuns: server?.load.longRunningTasks ?? 0,
                reserved: server?.reserved ?? false,
                pinned: server !== undefined && this.parts.isPinned(server),
                idle: this.#surplus.has(id),
            }];
        });
    }

    #workOnPools(now: number): void {
        if (this.parts.knownSince() === undefined) {
            return; // Pools stay as the operator laid them until something is known of the demand.
        }
        const demands = this.parts.listDemands();
        const doubtful = this.#listDoubtfulZones();
        const instances = [...this.machines.values()].map(kept => this.#describeInstance(kept, doubtful));
        if (now - this.#lastReport >= reportInterval) {
            this.#lastReport = now;
            this.#report(demands, instances);
        }
        const plan = scheduling.planMoves(demands, instances, scheduling.defaultPoolPolicy, now);
        this.#surplus = new Set(plan.surplus);
        this.#release(new Set(plan.release));
        for (const move of plan.moves) {
            void this.#move(this.machines.get(move.instance)!, move.to);
        }
    }

    /** Servers on these machines get no new tasks, until they are empty and move or a later plan wants them again. */
    #release(machines: ReadonlySet<string>): void {
        for (const kept of this.machines.values()) {
            const server = this.#findServer(kept);
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
        for (const kept of this.machines.values()) {
            const { availabilityZone, server, state } = kept.machine;
            if (server !== "" && state === platform.machineCalls.MachineState.up && kept.ordered === undefined) {
                const reached = this.#findServer(kept)?.reachable === true;
                balances.set(availabilityZone, (balances.get(availabilityZone) ?? 0) + (reached ? 1 : -1));
            }
        }
        return new Set(
            [...balances].filter(([, balance]) => balance < 0).map(([availabilityZone]) => availabilityZone),
        );
    }

    #describeInstance(kept: KeptMachine, doubtfulZones: ReadonlySet<string>): scheduling.PoolInstance {
        const server = this.#findServer(kept);
        return {
            id: kept.machine.id,
            pool: kept.machine.pool,
            available: this.#isAvailable(kept) && server?.reserved !== true,
            arriving: kept.ordered === "move" || kept.machine.state === platform.machineCalls.MachineState.moving,
            emptySince: kept.emptySince === undefined
                ? undefined
                : Math.max(kept.emptySince, this.parts.knownSince() ?? 0, this.#blindUntil),
            busyFor: server?.estimateBusyTime(this.parts.shared.clock.steady()) ?? 0,
            cores: kept.machine.cpu / 1000,
            due: kept.due,
            doubtful: doubtfulZones.has(kept.machine.availabilityZone),
        };
    }

    async #move(kept: KeptMachine, to: string): Promise<void> {
        const from = kept.machine.pool;
        const ordered = await this.#order(
            kept,
            "move",
            holder => platform.machineCalls.createMove(kept.machine.id, to, holder),
            { ...kept.machine, pool: to, state: platform.machineCalls.MachineState.moving, server: "" },
        );
        this.parts.shared.log.info("machine-moved", { machine: kept.machine.id, from, to, outcome: ordered });
    }

    async #maintain(open: OpenWave, kept: KeptMachine): Promise<void> {
        open.out.set(kept.machine.id, this.parts.shared.clock.steady());
        const ordered = await this.#order(
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
        if (ordered === "done" || ordered === platform.machineCalls.MachineRefusal.notOfWave) {
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

    /** Gives an order until it is answered; returns what became of it. */
    async #order(
        kept: KeptMachine,
        kind: "move" | "maintenance",
        createCall: (holder: platform.machineCalls.Holder) => platform.Call,
        after: Machine,
    ): Promise<string> {
        const { shared } = this.parts;
        const server = this.#findServer(kept);
        kept.ordered = kind;
        const wasReserved = server?.reserved ?? false;
        if (server !== undefined) {
            server.reserved = true;
            server.load.open = false;
        }
        let outcome = "superseded";
        const decidedAt = shared.clock.steady();
        let sent = false;
        this.#ordersUnderWay += 1;
        while (!this.#stopped) {
            const before = shared.clock.wall();
            shared.writer.add(jobState.encodeMachineOrder(
                kept.machine.id,
                shared.epoch,
                shared.clock.steady() - shared.claimedAt,
            ));
            if (!await shared.writer.flush() || (server !== undefined && server.runs.size > 0)) {
                outcome = "not ordered";
                break;
            }
            if (!sent && (this.#closing || shared.clock.steady() - decidedAt > decisionValidity)) {
                outcome = "outdated";
                this.#blindUntil = shared.clock.steady();
                break;
            }
            if (Math.abs(shared.clock.wall() - before) > confirmationValidity) {
                continue; // Time has passed since the epoch was confirmed, perhaps in a suspended machine.
            }
            const call = createCall({ node: shared.node, fencingToken: shared.epoch });
            sent = true;
            const answer = await shared.calls.send(shared.settings.machinesAddress!, call, machineTimeout);
            const decoded = answer.isOk() ? platform.machineCalls.decodeMachineOrder(answer.value) : undefined;
            if (decoded?.kind === "done") {
                kept.machine = after;
                outcome = "done";
                break;
            }
            if (decoded !== undefined && (decoded.status === 409 || decoded.status === 400)) {
                outcome = decoded.reason === "" ? `status ${decoded.status}` : decoded.reason;
                break;
            }
            await clocks.delay(orderRetryDelay);
        }
        this.#ordersUnderWay -= 1;
        kept.ordered = undefined;
        if (outcome !== "done" && server !== undefined) {
            server.reserved = wasReserved;
        }
        return outcome;
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
            await clocks.delay(orderRetryDelay);
        }
    }
}
