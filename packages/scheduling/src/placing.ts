/**
 * Places tasks on backend servers: vector bin packing by cores, memory and accelerators, never above a server's
 * capacity.
 *
 * Intended for hundreds of task starts per second on tens of servers. Tasks go to the server with the least capacity
 * left over (best fit), so that other servers stay empty and can be moved to another pool or switched off.
 */
import type * as jobState from "@catkinwharf/job-state";

/** Free capacity of a backend server and the runs that occupy the rest; placement updates both. */
export interface ServerLoad {
    readonly id: string;
    rack: string;
    labels: readonly string[];
    /**
     * Thousandths of a core. A run that is being stopped still occupies its share. Negative while more runs than fit
     * into a capacity that has shrunk.
     */
    freeCpu: number;
    /** Megabytes. */
    freeMemory: number;
    freeAccelerators: number;
    /** Thousandths of a core, megabytes and accelerators that runs occupy whose tasks end by themselves. */
    endingCpu: number;
    endingMemory: number;
    endingAccelerators: number;
    /** Accepts new tasks. */
    acceptsTasks: boolean;
    /**
     * An earlier coordinator may have ordered its machine away, so that it gets no task of a step that limits how many may
     * be unavailable.
     */
    mayBeOrderedAway: boolean;
    /** Added to the cost of placing a task on it; for servers on which runs fail or stall often. */
    penalty: number;
    /** Number of runs that occupy capacity. */
    runCount: number;
    /** Those of them that belong to long-running tasks. */
    longRunningRunCount: number;
    /** Number of runs that may still crash the server; counted only before tasks that start alone are placed. */
    startingRunCount: number;
    /** Number of runs by `stepKey`. */
    readonly runCountByStep: Map<string, number>;
    /** What limits other tasks on it; set anew in each pass. */
    reservation?: ServerReservation | undefined;
}

/** Capacity in thousandths of a core, megabytes and accelerators. */
export interface Room {
    cpu: number;
    memory: number;
    accelerators: number;
}

/** A step waits for the server, see `Reservations`. */
export interface ServerReservation {
    readonly stepKey: string;
    /** Ms until the predicted start of its task. */
    readonly timeLeft: number;
    /** What remains beside it at that time; `undefined` if no other task may start on the server before it. */
    readonly spare: Room | undefined;
}

export interface PlacementRequest {
    /** Identifies job, occurrence and step. */
    readonly stepKey: string;
    readonly step: jobState.Step;
    /** Task indices, counted over all steps of the job. */
    readonly tasks: readonly number[];
    /** IDs of servers on which a run of the job failed or stalled; others are preferred. */
    readonly avoided: ReadonlySet<string>;
    /** No other task may start on a server beside one of these. */
    readonly alone: boolean;
    /** Time in ms within which a task is expected to end; `undefined` if it isn't known. */
    readonly expectedDuration?: number | undefined;
}

export interface Placement {
    readonly task: number;
    readonly server: ServerLoad;
}

/*
 * Costs of placing a task on a server; the server with the lowest sum is chosen. A remote rack is preferred to a server
 * to avoid, and an empty server to both. A cost of 1 weighs as much as leftover processor time of 1000 times the task's
 * demand, so the fit usually decides only between servers of equal cost. For a task without processor demand, a
 * cost of 1 weighs as much as one free core.
 */
/** For a server on another rack than the step's data. */
const remoteRackCost = 4;
/** For a server on which a run of the job failed or stalled. */
const avoidedCost = 8;
/**
 * For the first task on a server, and again for its first long-running task: either keeps one more server from leaving
 * the pool.
 */
const firstTaskCost = 1;
/** For a task that starts alone: for each run that may also be what crashes the server. */
const startingRunCost = 16;
/** For a task that starts alone: for each run that is lost if it crashes the server. */
const endangeredRunCost = 0.5;

/** What a server's registration says about placement. */
export interface ServerCapacity {
    /** Thousandths of a core. */
    readonly cpu: number;
    /** Megabytes. */
    readonly memory: number;
    readonly accelerators: number;
    readonly labels: readonly string[];
    readonly rack: string;
}

/** Applies a changed registration; what runs on the server keeps its share. */
export function applyCapacity(server: ServerLoad, before: ServerCapacity, after: ServerCapacity): void {
    server.freeCpu += after.cpu - before.cpu;
    server.freeMemory += after.memory - before.memory;
    server.freeAccelerators += after.accelerators - before.accelerators;
    server.labels = after.labels;
    server.rack = after.rack;
}

/** Whether the server accepts new tasks and has the capacity that one more task of the step needs. */
export function hasRoom(server: ServerLoad, step: jobState.Step): boolean {
    return server.acceptsTasks
        && (step.filler || server.freeCpu >= step.demand.cpu)
        && server.freeMemory >= step.demand.memory
        && server.freeAccelerators >= step.demand.accelerators;
}

/** The same once the tasks on the server that end by themselves have ended. */
export function willHaveRoom(server: ServerLoad, step: jobState.Step): boolean {
    return server.acceptsTasks
        && (step.filler || server.freeCpu + server.endingCpu >= step.demand.cpu)
        && server.freeMemory + server.endingMemory >= step.demand.memory
        && server.freeAccelerators + server.endingAccelerators >= step.demand.accelerators;
}

/**
 * Chooses the server that a task of the step waits for: it will have room once the tasks on it that end by themselves have
 * ended, and lacks the least now. `undefined` if waiting doesn't help the step.
 */
export function chooseReservation(
    { step, stepKey }: PlacementRequest,
    servers: readonly ServerLoad[],
): ServerLoad | undefined {
    let best: ServerLoad | undefined;
    let leastLack = Number.POSITIVE_INFINITY;
    for (const server of servers) {
        const lack = measureLack(server, step);
        if (lack < leastLack && willHaveRoom(server, step) && meetsRestrictions(server, step, stepKey)) {
            best = server;
            leastLack = lack;
        }
    }
    return best;
}

/** Largest share of the step's demand that the server lacks now, over processor, memory and accelerators. */
function measureLack(server: ServerLoad, { demand, filler }: jobState.Step): number {
    return Math.max(
        filler ? 0 : 1 - server.freeCpu / Math.max(1, demand.cpu),
        1 - server.freeMemory / Math.max(1, demand.memory),
        1 - server.freeAccelerators / Math.max(1, demand.accelerators),
    );
}

/** Whether the server has room for one more task of the step, and meets what else the step requires. */
export function fits(server: ServerLoad, step: jobState.Step, stepKey: string): boolean {
    return hasRoom(server, step) && meetsRestrictions(server, step, stepKey);
}

/** The same once the tasks on the server that end by themselves have ended. */
export function willFit(server: ServerLoad, step: jobState.Step, stepKey: string): boolean {
    return willHaveRoom(server, step) && meetsRestrictions(server, step, stepKey);
}

/** Copies a load, so that tasks can be placed on the copy to see where they would go. */
export function copyLoad(load: ServerLoad): ServerLoad {
    const { reservation } = load;
    const spare = reservation?.spare === undefined ? undefined : { ...reservation.spare };
    return {
        ...load,
        runCountByStep: new Map(load.runCountByStep),
        reservation: reservation === undefined ? undefined : { ...reservation, spare },
    };
}

/** Whether the server has room for a task that ends before its reservation, or leaves room for that. */
export function mayBackfill(server: ServerLoad, step: jobState.Step, expectedDuration: number | undefined): boolean {
    const { reservation } = server;
    if (reservation === undefined) {
        return hasRoom(server, step);
    }
    const { spare, timeLeft } = reservation;
    return spare !== undefined && hasRoom(server, step)
        && (endsBefore(step, expectedDuration, timeLeft) || countTasks(spare, step) > 0);
}

/** Whether a reservation of the server lets a task of the step start there. */
export function respectsReservation(
    server: ServerLoad,
    { step, stepKey, expectedDuration }: PlacementRequest,
): boolean {
    return server.reservation === undefined || server.reservation.stepKey === stepKey
        || mayBackfill(server, step, expectedDuration);
}

function endsBefore(step: jobState.Step, expectedDuration: number | undefined, timeLeft: number): boolean {
    return !step.longRunning && expectedDuration !== undefined && expectedDuration <= timeLeft;
}

/** Subtracts a task that doesn't end before the server's reservation from what remains beside it (1), or adds it (-1). */
function adjustSpare(
    { reservation }: ServerLoad,
    { step, stepKey, expectedDuration }: PlacementRequest,
    sign: 1 | -1,
): void {
    if (
        reservation?.spare === undefined || reservation.stepKey === stepKey
        || endsBefore(step, expectedDuration, reservation.timeLeft)
    ) {
        return;
    }
    const { spare } = reservation;
    spare.cpu -= sign * (step.filler ? 0 : step.demand.cpu);
    spare.memory -= sign * step.demand.memory;
    spare.accelerators -= sign * step.demand.accelerators;
}

/** Whether a task of the step may run on the server, by what it requires besides room. */
function meetsRestrictions(server: ServerLoad, step: jobState.Step, stepKey: string): boolean {
    return (step.maxUnavailable === undefined || !server.mayBeOrderedAway)
        && (step.requiredLabel === undefined || server.labels.includes(step.requiredLabel))
        && (step.maxPerServer === 0 || (server.runCountByStep.get(stepKey) ?? 0) < step.maxPerServer);
}

/**
 * Demands for which no server has room. While servers only get fuller, nothing that demands as much or more finds room
 * either, so a pass over a backlog looks at the servers only for a few of its steps, and still tries every step that may
 * fit, however many before it don't.
 */
export class Shortages {
    readonly #demands: jobState.Demand[] = [];

    /** @param hasRoom whether a server has room for a task of the step: `hasRoom` or `willHaveRoom` */
    constructor(private readonly hasRoom: (server: ServerLoad, step: jobState.Step) => boolean) {}

    /** Whether a task of the step demands as much as one that no server had room for. */
    includes(step: jobState.Step): boolean {
        const { cpu, memory, accelerators } = findRequiredRoom(step);
        return this.#demands.some(short =>
            cpu >= short.cpu && memory >= short.memory && accelerators >= short.accelerators
        );
    }

    /** Records the step's demand if no server has room for it, whether or not the step may run there. */
    recordUnplaced(step: jobState.Step, servers: readonly ServerLoad[]): void {
        if (!this.includes(step) && !servers.some(server => this.hasRoom(server, step))) {
            this.#demands.push(findRequiredRoom(step));
        }
    }
}

function findRequiredRoom({ demand, filler }: jobState.Step): jobState.Demand {
    return filler ? { ...demand, cpu: Number.NEGATIVE_INFINITY } : demand;
}

/** Subtracts the demand of one task from the server's free capacity. */
export function occupy(server: ServerLoad, step: jobState.Step, stepKey: string): void {
    adjustLoad(server, step, stepKey, 1);
}

/** Adds the demand of one task back to the server's free capacity. */
export function release(server: ServerLoad, step: jobState.Step, stepKey: string): void {
    adjustLoad(server, step, stepKey, -1);
}

/** Adds one task of the step to the server's load (1) or removes it (-1). */
function adjustLoad(server: ServerLoad, step: jobState.Step, stepKey: string, sign: 1 | -1): void {
    server.freeCpu -= sign * (step.filler ? 0 : step.demand.cpu);
    server.freeMemory -= sign * step.demand.memory;
    server.freeAccelerators -= sign * step.demand.accelerators;
    server.runCount += sign;
    if (step.longRunning) {
        server.longRunningRunCount += sign;
    }
    else {
        server.endingCpu += sign * (step.filler ? 0 : step.demand.cpu);
        server.endingMemory += sign * step.demand.memory;
        server.endingAccelerators += sign * step.demand.accelerators;
    }
    const count = (server.runCountByStep.get(stepKey) ?? 0) + sign;
    if (count > 0) {
        server.runCountByStep.set(stepKey, count);
    }
    else {
        server.runCountByStep.delete(stepKey);
    }
}

/** Places as many tasks of a step as fit, or all or none of a gang, and occupies the capacity that they need. */
export function placeStep(request: PlacementRequest, servers: readonly ServerLoad[]): Placement[] {
    const placed = placeTasksOrGang(request, servers);
    if (request.alone) {
        placed.forEach(one => one.server.acceptsTasks = false);
    }
    return placed;
}

function placeTasksOrGang(request: PlacementRequest, servers: readonly ServerLoad[]): Placement[] {
    if (!request.step.gang) {
        return placeTasks(request, servers);
    }
    const room = servers.reduce((sum, server) => sum + countRoom(server, request), 0);
    if (room < request.tasks.length) {
        return [];
    }
    // A gang with `sameRack` goes to the first rack that has room for all of it, or else on servers of several racks.
    const racks = request.step.sameRack ? groupByRack(servers) : [];
    for (const group of [...racks, servers]) {
        const placed = placeTasks(request, group);
        if (placed.length === request.tasks.length) {
            return placed;
        }
        for (const { server } of placed) {
            release(server, request.step, request.stepKey);
            adjustSpare(server, request, -1);
        }
    }
    return [];
}

/** Number of tasks of the step that the server could take now. */
function countRoom(server: ServerLoad, { step, stepKey }: PlacementRequest): number {
    if (!fits(server, step, stepKey)) {
        return 0;
    }
    const room = { cpu: server.freeCpu, memory: server.freeMemory, accelerators: server.freeAccelerators };
    return Math.min(
        countTasks(room, step),
        step.maxPerServer === 0
            ? Number.POSITIVE_INFINITY
            : step.maxPerServer - (server.runCountByStep.get(stepKey) ?? 0),
    );
}

/** Number of tasks of the step that the room suffices for. */
export function countTasks(room: Readonly<Room>, { demand, filler }: jobState.Step): number {
    const { cpu, memory, accelerators } = demand;
    return Math.min(
        filler ? Number.POSITIVE_INFINITY : divide(room.cpu, cpu),
        divide(room.memory, memory),
        divide(room.accelerators, accelerators),
    );
}

/** Without a demand, any room suffices that isn't overdrawn. */
function divide(room: number, demand: number): number {
    return demand === 0 ? room < 0 ? 0 : Number.POSITIVE_INFINITY : Math.max(0, Math.floor(room / demand));
}

function placeTasks(request: PlacementRequest, servers: readonly ServerLoad[]): Placement[] {
    const placed: Placement[] = [];
    for (const task of request.tasks) {
        const server = chooseServer(request, servers);
        if (server === undefined) {
            break;
        }
        occupy(server, request.step, request.stepKey);
        adjustSpare(server, request, 1);
        if (request.alone && !request.step.gang) {
            server.acceptsTasks = false;
        }
        placed.push({ task, server });
    }
    return placed;
}

function chooseServer(request: PlacementRequest, servers: readonly ServerLoad[]): ServerLoad | undefined {
    let best: ServerLoad | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const server of servers) {
        if (!fits(server, request.step, request.stepKey) || !respectsReservation(server, request)) {
            continue;
        }
        const cost = estimateCost(request, server);
        if (cost < bestCost) {
            best = server;
            bestCost = cost;
        }
    }
    return best;
}

function estimateCost(request: PlacementRequest, server: ServerLoad): number {
    const { step } = request;
    const leftover = (server.freeCpu - step.demand.cpu) / Math.max(1, step.demand.cpu);
    const remoteData = step.dataRack !== undefined && step.dataRack !== server.rack ? remoteRackCost : 0;
    const avoided = request.avoided.has(server.id) ? avoidedCost : 0;
    const first = request.alone ? 0 : estimateFirstTaskCost(step, server);
    const endangered = request.alone
        ? server.startingRunCount * startingRunCost + server.runCount * endangeredRunCost
        : 0;
    return leftover / 1000 + remoteData + avoided + server.penalty + first + endangered;
}

function estimateFirstTaskCost(step: jobState.Step, server: ServerLoad): number {
    // A long-running task keeps its server from leaving the pool, so a server that already runs one is preferred.
    const firstLongRunning = step.longRunning && server.longRunningRunCount === 0 ? firstTaskCost : 0;
    return firstLongRunning + (server.runCount === 0 ? firstTaskCost : 0);
}

export function groupByRack(servers: readonly ServerLoad[]): ServerLoad[][] {
    const groups = new Map<string, ServerLoad[]>();
    for (const server of servers) {
        const group = groups.get(server.rack) ?? [];
        group.push(server);
        groups.set(server.rack, group);
    }
    return [...groups.values()];
}
