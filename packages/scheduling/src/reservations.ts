/**
 * Reservations of backend servers for steps that wait for capacity, and backfill of the gaps before them.
 *
 * A step whose tasks need a large part of a server finds no room while smaller tasks take each bit that becomes free. A
 * reservation names a server, and the time at which the runs there are predicted to leave room for one task of the step.
 * Before that time other tasks may start there if they are predicted to end by then, or if they leave enough room for the
 * reserved task.
 *
 * Predictions fail. A step whose reservation isn't met in time moves to a server that is predicted sooner, at most
 * `maxMoves` times, and from the first failure on no other task starts on the server that it waits for. So it starts at
 * the latest when all runs have ended that its last server had when it was chosen: tasks that arrive later can't delay it
 * any more.
 *
 * Reservations live in the memory of one coordinator. A successor begins without any.
 */
import type * as jobState from "@catkinwharf/job-state";
import * as placing from "./placing.js";

/** How often the reservation of one step moves to another server because a prediction has failed. */
const maxMoves = 2;
/** Moving needs a predicted time that is this much shorter, so that reservations don't move for noise. */
const moveGain = 0.7;
/** A prediction has failed after this share of the predicted wait beyond it, and at least `minTolerance` ms. */
const tolerance = 0.25;
const minTolerance = 100;
/** Searches over all servers in one pass; bounds the work of the pass, however many steps wait. */
const maxSearches = 2;
/** Time in ms after which a step for which no server will have room is tried again. */
const retryInterval = 500;
/** Steps that are remembered for that. */
const maxRetries = 1000;
/** Kinds of tasks that are remembered in a pass because they may not start on a reserved server. */
const maxRejected = 16;

/** When steps of one service get reservations; never for more steps than a quarter of its servers, or one. */
export interface ReservationPolicy {
    /** Share of a server that a task, or a whole gang, demands more than to get a reservation, in one resource or more. */
    readonly minShare: number;
    /**
     * Steps that may hold a reservation at a time. In bursts above the capacity each further one costs more jobs their
     * objective than it gains.
     */
    readonly maxReservations: number;
    /** The same for steps of jobs that are older than `agedWait`, so that one that waits for long doesn't hold up others. */
    readonly maxAgedReservations: number;
    /** Ms. */
    readonly agedWait: number;
    /**
     * Time in ms since its first reservation after which it also binds steps that come before its own. Before that a
     * job with less slack goes first.
     */
    readonly bindingWait: number;
}

export const defaultReservationPolicy: ReservationPolicy = {
    minShare: 0.25,
    maxReservations: 1,
    maxAgedReservations: 4,
    agedWait: 5000,
    bindingWait: 2000,
};

/** A run on a server and when it is predicted to end. */
export interface PredictedEnd {
    /** Ms from now. */
    readonly remaining: number;
    readonly step: jobState.Step;
}

/** A server that accepts tasks, with what is known of its future. */
export interface ServerOutlook {
    readonly load: placing.ServerLoad;
    /** Identifies the server's boot. */
    readonly bootId: string;
    readonly capacity: jobState.Demand;
    /** Runs whose tasks end by themselves. */
    readonly predictEnds: () => PredictedEnd[];
}

/** What a step holds, for the log. */
export interface ReservationChange {
    readonly servers: readonly string[];
    /** Ms until the predicted start. */
    readonly wait: number;
    /** Earlier servers of the reservation, none if they were lost; `undefined` if it is new. */
    readonly movedFrom: readonly string[] | undefined;
}

interface Part {
    readonly serverId: string;
    readonly bootId: string;
    /** Number of tasks of the step that the server is reserved for. */
    readonly tasks: number;
}

interface Reservation {
    readonly step: jobState.Step;
    parts: readonly Part[];
    /** On the monotonic clock. */
    readonly firstMadeAt: number;
    /** On the monotonic clock: when the prediction was made. */
    madeAt: number;
    /** On the monotonic clock: predicted start. */
    at: number;
    /** A prediction has failed: no other task starts on the servers. */
    strict: boolean;
    moves: number;
}

/** Servers and the time in ms from now at which they are predicted to have room for the tasks. */
interface Opening {
    readonly parts: readonly Part[];
    readonly wait: number;
}

/** Reservations of the steps of one service. */
export class Reservations {
    /** By step key. */
    readonly #reservations = new Map<string, Reservation>();
    /** On the monotonic clock: when a step that no server will have room for is tried again, by step key. */
    readonly #retryAt = new Map<string, number>();
    #outlooks: ReadonlyMap<string, ServerOutlook> = new Map();
    /** Predicted ends by server in ascending order, as far as this pass needed them. */
    #ends = new Map<string, PredictedEnd[]>();
    #capacity: jobState.Demand | undefined;
    #now = 0;
    #searches = 0;
    #isAnyFailed = false;
    #reservedLoads: placing.ServerLoad[] = [];
    /** Key of the step that has reserved it, by server. */
    readonly #holders = new Map<string, string>();
    /** Tasks that may not start on any reserved server. */
    #rejected: { readonly step: jobState.Step; readonly duration: number; }[] = [];
    /** Pairs of a step and a server that were evaluated since the pass began; for tests of the cost. */
    evaluatedPairs = 0;

    constructor(private readonly policy = defaultReservationPolicy) {}

    get size(): number {
        return this.#reservations.size;
    }

    /**
     * Whether `update` can change anything in this pass.
     *
     * @param age of the step's job, in ms
     */
    isOpen(age: number): boolean {
        return this.#searches < maxSearches && (this.#mayAdd(age) || this.#isAnyFailed);
    }

    #mayAdd(age: number): boolean {
        const { agedWait, maxAgedReservations, maxReservations } = this.policy;
        const limit = age >= agedWait ? maxAgedReservations : maxReservations;
        const servers = this.#outlooks.size;
        return servers > 1 && this.#reservations.size < Math.min(limit, Math.max(1, Math.floor(servers / 4)));
    }

    /** Servers that were reserved in this pass, also if they no longer are. */
    get reservedLoads(): readonly placing.ServerLoad[] {
        return this.#reservedLoads;
    }

    /**
     * Whether a task may start on a reserved server, whatever it requires besides room. Steps that demand as much and take as
     * long as one that may not are told apart without a look at the servers.
     *
     * @param expectDuration returns the ms within which a task is expected to end
     */
    mayBackfill(step: jobState.Step, expectDuration: () => number): boolean {
        const isRoom = this.#reservedLoads.some(load => {
            this.evaluatedPairs += 1;
            return placing.hasRoom(load, step);
        });
        if (!isRoom) {
            return false;
        }
        const expectedDuration = expectDuration();
        const { cpu, memory, accelerators } = step.demand;
        const isRejected = this.#rejected.some(({ step: { demand, filler }, duration }) =>
            filler === step.filler && cpu >= demand.cpu && memory >= demand.memory
            && accelerators >= demand.accelerators && expectedDuration >= duration
        );
        if (isRejected) {
            return false;
        }
        const mayStart = this.#reservedLoads.some(load => {
            this.evaluatedPairs += 1;
            return placing.mayBackfill(load, step, expectedDuration);
        });
        if (!mayStart && this.#rejected.length < maxRejected) {
            this.#rejected.push({ step, duration: expectedDuration });
        }
        return mayStart;
    }

    has(stepKey: string): boolean {
        return this.#reservations.has(stepKey);
    }

    /** Servers that the step has reserved. */
    listServers(stepKey: string): string[] {
        return this.#reservations.get(stepKey)?.parts.map(part => part.serverId) ?? [];
    }

    /**
     * Begins a pass: drops the reservations of steps that no longer wait, gives up servers that don't accept tasks any more or
     * have another boot, and marks the reserved servers. A step that has lost its servers gets others in its turn.
     *
     * @param isWaiting whether the step still has tasks that may start
     * @param now on the monotonic clock, ms
     */
    beginPass(
        outlooks: ReadonlyMap<string, ServerOutlook>,
        isWaiting: (stepKey: string) => boolean,
        now: number,
    ): void {
        this.#outlooks = outlooks;
        this.#ends = new Map();
        this.#capacity = undefined;
        this.#now = now;
        this.#searches = 0;
        this.#isAnyFailed = false;
        this.evaluatedPairs = 0;
        this.#reservedLoads = [];
        this.#rejected = [];
        this.#holders.clear();
        for (const { load } of outlooks.values()) {
            load.reservation = undefined;
        }
        for (const [stepKey, reservation] of this.#reservations) {
            if (!isWaiting(stepKey)) {
                this.#reservations.delete(stepKey);
                continue;
            }
            if (reservation.parts.some(part => outlooks.get(part.serverId)?.bootId !== part.bootId)) {
                reservation.parts = [];
                reservation.at = Number.NEGATIVE_INFINITY;
            }
            reservation.parts.forEach(part => this.#holders.set(part.serverId, stepKey));
            this.#isAnyFailed ||= this.#hasFailed(reservation);
            if (now - reservation.firstMadeAt >= this.policy.bindingWait) {
                this.#mark(stepKey, reservation);
            }
        }
    }

    /** Whether a waiting step demands so much that it may get a reservation. */
    isLarge({ demand, gang, filler }: jobState.Step, taskCount: number): boolean {
        const capacity = this.#capacity ??= findLargestCapacity(this.#outlooks.values());
        const { minShare } = this.policy;
        const count = gang ? taskCount : 1;
        return (!filler && count * demand.cpu > minShare * capacity.cpu)
            || count * demand.memory > minShare * capacity.memory
            || count * demand.accelerators > minShare * capacity.accelerators;
    }

    /** Whether `update` may give the step a reservation, or move the one that it has. */
    mayUpdate(stepKey: string, age: number): boolean {
        if (this.#searches >= maxSearches) {
            return false;
        }
        const reservation = this.#reservations.get(stepKey);
        if (reservation !== undefined) {
            return this.#hasFailed(reservation);
        }
        return this.#mayAdd(age)
            && (this.#retryAt.get(stepKey) ?? Number.NEGATIVE_INFINITY) <= this.#now;
    }

    /**
     * Gives a step that fits nowhere now a reservation, or moves it if its prediction has failed. Returns what has changed.
     *
     * @param permitted servers on which the step's tasks may run
     */
    update(
        request: placing.PlacementRequest,
        permitted: readonly placing.ServerLoad[],
    ): ReservationChange | undefined {
        const { stepKey, step } = request;
        this.#searches += 1;
        const held = this.#reservations.get(stepKey);
        if (held === undefined) {
            const opening = this.#search(request, permitted.filter(({ id }) => !this.#holders.has(id)));
            if (opening === undefined) {
                this.#rememberHopeless(stepKey);
                return undefined;
            }
            const made = {
                step,
                parts: opening.parts,
                firstMadeAt: this.#now,
                madeAt: this.#now,
                at: 0,
                strict: false,
                moves: 0,
            };
            this.#reservations.set(stepKey, made);
            return this.#settle(stepKey, made, opening, undefined);
        }
        const isLost = held.parts.length === 0;
        held.strict ||= !isLost;
        const own = this.#search(request, permitted.filter(({ id }) => this.#holders.get(id) === stepKey));
        const other = isLost || held.moves < maxMoves
            ? this.#search(request, permitted.filter(({ id }) => !this.#holders.has(id)))
            : undefined;
        if (other !== undefined && (own === undefined || other.wait < moveGain * own.wait)) {
            const before = held.parts;
            this.#unmark(held);
            held.moves += isLost ? 0 : 1;
            return this.#settle(stepKey, held, other, before);
        }
        if (own === undefined) {
            this.drop(stepKey);
            return undefined;
        }
        return this.#settle(stepKey, held, { ...own, parts: held.parts }, held.parts);
    }

    /**
     * Keeps the steps that are tried after this one in the pass off what it has reserved. Returns whether it has a
     * reservation.
     */
    bind(stepKey: string): boolean {
        const reservation = this.#reservations.get(stepKey);
        if (reservation === undefined) {
            return false;
        }
        if (reservation.parts.some(({ serverId }) => this.#outlooks.get(serverId)!.load.reservation === undefined)) {
            this.#mark(stepKey, reservation);
        }
        return true;
    }

    /** Ends the step's reservation. */
    drop(stepKey: string): void {
        const reservation = this.#reservations.get(stepKey);
        if (reservation !== undefined) {
            this.#unmark(reservation);
            this.#reservations.delete(stepKey);
        }
    }

    #settle(
        stepKey: string,
        reservation: Reservation,
        { parts, wait }: Opening,
        before: readonly Part[] | undefined,
    ): ReservationChange {
        reservation.parts = parts;
        reservation.madeAt = this.#now;
        reservation.at = this.#now + wait;
        this.#mark(stepKey, reservation);
        return {
            servers: parts.map(part => part.serverId),
            wait,
            movedFrom: before?.map(part => part.serverId),
        };
    }

    #hasFailed({ madeAt, at }: Reservation): boolean {
        return this.#now > at + Math.max(minTolerance, tolerance * (at - madeAt));
    }

    #rememberHopeless(stepKey: string): void {
        if (this.#retryAt.size >= maxRetries) {
            this.#retryAt.clear();
        }
        this.#retryAt.set(stepKey, this.#now + retryInterval);
    }

    /** Tells placement what may start on the reserved servers. */
    #mark(stepKey: string, reservation: Reservation): void {
        const { step, parts, at } = reservation;
        this.#rejected = []; // A further server may take them.
        const timeLeft = reservation.strict || this.#hasFailed(reservation) ? 0 : Math.max(0, at - this.#now);
        for (const { serverId, tasks } of parts) {
            this.#holders.set(serverId, stepKey);
            const { load } = this.#outlooks.get(serverId)!;
            const spare = { cpu: load.freeCpu, memory: load.freeMemory, accelerators: load.freeAccelerators };
            for (const end of this.#listEnds(serverId)) {
                if (end.remaining > timeLeft) {
                    break;
                }
                addDemand(spare, end.step, 1);
            }
            addDemand(spare, step, -tasks);
            if (!this.#reservedLoads.includes(load)) {
                this.#reservedLoads.push(load);
            }
            load.reservation = timeLeft > 0 ? { stepKey, timeLeft, spare } : { stepKey, timeLeft, spare: undefined };
        }
    }

    #unmark({ parts }: Reservation): void {
        for (const { serverId } of parts) {
            this.#outlooks.get(serverId)!.load.reservation = undefined;
            this.#holders.delete(serverId);
        }
    }

    #listEnds(serverId: string): readonly PredictedEnd[] {
        let ends = this.#ends.get(serverId);
        if (ends === undefined) {
            ends = this.#outlooks.get(serverId)!.predictEnds().sort((a, b) => a.remaining - b.remaining);
            this.#ends.set(serverId, ends);
        }
        return ends;
    }

    #search(request: placing.PlacementRequest, loads: readonly placing.ServerLoad[]): Opening | undefined {
        return request.step.gang ? this.#searchGang(request, loads) : this.#searchTask(request, loads);
    }

    /** The server that will have room for a task of the step first. */
    #searchTask(
        { step, stepKey }: placing.PlacementRequest,
        loads: readonly placing.ServerLoad[],
    ): Opening | undefined {
        let best: Opening | undefined;
        for (const load of loads) {
            this.evaluatedPairs += 1;
            if (!placing.willFit(load, step, stepKey)) {
                continue;
            }
            const wait = predictWait(load, this.#listEnds(load.id), step);
            if (wait !== undefined && wait < (best?.wait ?? Number.POSITIVE_INFINITY)) {
                best = { parts: [this.#createPart(load, 1)], wait };
            }
        }
        return best;
    }

    /** The servers that will have room for all tasks of a gang first; of one rack, if its tasks slow each other down. */
    #searchGang(request: placing.PlacementRequest, loads: readonly placing.ServerLoad[]): Opening | undefined {
        const fitting = loads.filter(load => {
            this.evaluatedPairs += 1;
            return placing.willFit(load, request.step, request.stepKey);
        });
        // At least one server stays open to the other steps.
        const limit = this.#outlooks.size - 1;
        const openings = (request.step.sameRack ? placing.groupByRack(fitting) : []).flatMap(rack =>
            this.#searchGangOn(request, rack, limit) ?? []
        );
        return openings.sort((a, b) => a.wait - b.wait)[0] ?? this.#searchGangOn(request, fitting, limit);
    }

    #searchGangOn(
        { step, stepKey, tasks }: placing.PlacementRequest,
        loads: readonly placing.ServerLoad[],
        limit: number,
    ): Opening | undefined {
        const waits = [...new Set([0, ...loads.flatMap(({ id }) => this.#listEnds(id).map(end => end.remaining))])]
            .sort((a, b) => a - b);
        let found: Opening | undefined;
        for (let low = 0, high = waits.length - 1; low <= high;) {
            const middle = (low + high) >> 1;
            const wait = waits[middle]!;
            const parts = this.#fillGang(step, stepKey, tasks.length, loads, wait);
            if (parts === undefined || parts.length > limit) {
                low = middle + 1;
            }
            else {
                found = { parts, wait };
                high = middle - 1;
            }
        }
        return found;
    }

    /** Spreads the gang over as few servers as will have room for it in `wait` ms; `undefined` if they won't. */
    #fillGang(
        step: jobState.Step,
        stepKey: string,
        taskCount: number,
        loads: readonly placing.ServerLoad[],
        wait: number,
    ): Part[] | undefined {
        const rooms = loads.map(load => {
            this.evaluatedPairs += 1;
            const free = { cpu: load.freeCpu, memory: load.freeMemory, accelerators: load.freeAccelerators };
            for (const end of this.#listEnds(load.id)) {
                if (end.remaining > wait) {
                    break;
                }
                addDemand(free, end.step, 1);
            }
            const allowed = step.maxPerServer === 0
                ? Number.POSITIVE_INFINITY
                : step.maxPerServer - (load.runCountByStep.get(stepKey) ?? 0);
            return { load, room: Math.min(allowed, placing.countTasks(free, step)) };
        });
        const parts: Part[] = [];
        let left = taskCount;
        for (const { load, room } of rooms.sort((a, b) => b.room - a.room)) {
            if (left <= 0 || room <= 0) {
                break;
            }
            parts.push(this.#createPart(load, Math.min(left, room)));
            left -= room;
        }
        return left <= 0 ? parts : undefined;
    }

    #createPart({ id }: placing.ServerLoad, tasks: number): Part {
        return { serverId: id, bootId: this.#outlooks.get(id)!.bootId, tasks };
    }
}

/**
 * Ms until the server is predicted to have room for one task of the step; `undefined` if waiting doesn't help.
 *
 * @param ends in ascending order of time
 */
export function predictWait(
    load: placing.ServerLoad,
    ends: readonly PredictedEnd[],
    step: jobState.Step,
): number | undefined {
    const free = { cpu: load.freeCpu, memory: load.freeMemory, accelerators: load.freeAccelerators };
    let wait = 0;
    for (const end of ends) {
        if (placing.countTasks(free, step) > 0) {
            return wait;
        }
        addDemand(free, end.step, 1);
        wait = end.remaining;
    }
    return placing.countTasks(free, step) > 0 ? wait : undefined;
}

function findLargestCapacity(outlooks: Iterable<ServerOutlook>): jobState.Demand {
    const largest = { cpu: 0, memory: 0, accelerators: 0 };
    for (const { capacity } of outlooks) {
        largest.cpu = Math.max(largest.cpu, capacity.cpu);
        largest.memory = Math.max(largest.memory, capacity.memory);
        largest.accelerators = Math.max(largest.accelerators, capacity.accelerators);
    }
    return largest;
}

/** Adds the demand of `count` tasks of the step to `sum`. */
function addDemand(sum: placing.Room, { demand, filler }: jobState.Step, count: number): void {
    sum.cpu += filler ? 0 : count * demand.cpu;
    sum.memory += count * demand.memory;
    sum.accelerators += count * demand.accelerators;
}
