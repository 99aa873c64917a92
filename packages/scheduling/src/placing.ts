/**
 * Places tasks on backend servers: vector packing by processor time and memory, never above a server's capacity.
 *
 * Load: hundreds of starts a second on tens of servers. Tasks go where the least room is left over, so that other
 * servers stay empty and can be lent to another pool or switched off.
 */
import type * as jobState from "@catkinwharf/job-state";

/** A server with what is free on it; placing takes from it. */
export interface ServerLoad {
    readonly id: string;
    readonly rack: string;
    readonly labels: readonly string[];
    /** Thousandths of a core; what is being stopped still counts as used. */
    freeCpu: number;
    /** Megabytes. */
    freeMemory: number;
    freeAccelerators: number;
    /** May get new tasks. */
    open: boolean;
    /** Added to the cost of using it; for servers that are slow or fail often. */
    penalty: number;
    /** Runs that occupy it. */
    tasks: number;
    longRunningTasks: number;
    /** Tasks by `stepKey`. */
    readonly perStep: Map<string, number>;
}

export interface PlacingRequest {
    /** Names job, occurrence and step. */
    readonly stepKey: string;
    readonly step: jobState.Step;
    /** Indices over all steps of the job. */
    readonly tasks: readonly number[];
    /** Servers on which a task of the step failed lately. */
    readonly avoided: ReadonlySet<string>;
}

export interface Placement {
    readonly task: number;
    readonly server: ServerLoad;
}

/** Costs in shares of a server: what a wrong rack or a bad record is weighed against an exact fit. */
const rackCost = 4;
const avoidedCost = 8;
const emptyCost = 1;

export function fits(server: ServerLoad, step: jobState.Step, stepKey: string): boolean {
    return server.open
        && (step.filler || server.freeCpu >= step.demand.cpu)
        && server.freeMemory >= step.demand.memory
        && server.freeAccelerators >= step.demand.accelerators
        && (step.requiredLabel === undefined || server.labels.includes(step.requiredLabel))
        && (step.maxPerServer === 0 || (server.perStep.get(stepKey) ?? 0) < step.maxPerServer);
}

/** Takes the room of one task. */
export function occupy(server: ServerLoad, step: jobState.Step, stepKey: string): void {
    change(server, step, stepKey, 1);
}

/** Gives the room of one task back. */
export function release(server: ServerLoad, step: jobState.Step, stepKey: string): void {
    change(server, step, stepKey, -1);
}

function change(server: ServerLoad, step: jobState.Step, stepKey: string, tasks: 1 | -1): void {
    server.freeCpu -= tasks * (step.filler ? 0 : step.demand.cpu);
    server.freeMemory -= tasks * step.demand.memory;
    server.freeAccelerators -= tasks * step.demand.accelerators;
    server.tasks += tasks;
    if (step.longRunning) {
        server.longRunningTasks += tasks;
    }
    const count = (server.perStep.get(stepKey) ?? 0) + tasks;
    if (count > 0) {
        server.perStep.set(stepKey, count);
    }
    else {
        server.perStep.delete(stepKey);
    }
}

/** Places as many tasks of a step as fit, all or none for a gang, and occupies their room. */
export function placeStep(request: PlacingRequest, servers: readonly ServerLoad[]): Placement[] {
    if (!request.step.gang) {
        return placeTasks(request, servers);
    }
    const racks = request.step.sameRack ? groupByRack(servers) : [];
    for (const group of [...racks, servers]) {
        const placed = placeTasks(request, group);
        if (placed.length === request.tasks.length) {
            return placed;
        }
        placed.forEach(one => release(one.server, request.step, request.stepKey));
    }
    return [];
}

function placeTasks(request: PlacingRequest, servers: readonly ServerLoad[]): Placement[] {
    const placed: Placement[] = [];
    for (const task of request.tasks) {
        const server = chooseServer(request, servers);
        if (server === undefined) {
            break;
        }
        occupy(server, request.step, request.stepKey);
        placed.push({ task, server });
    }
    return placed;
}

function chooseServer(request: PlacingRequest, servers: readonly ServerLoad[]): ServerLoad | undefined {
    let best: ServerLoad | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const server of servers) {
        if (!fits(server, request.step, request.stepKey)) {
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

function estimateCost(request: PlacingRequest, server: ServerLoad): number {
    const { step } = request;
    const left = (server.freeCpu - step.demand.cpu) / Math.max(1, step.demand.cpu);
    const farFromData = step.dataRack !== undefined && step.dataRack !== server.rack ? rackCost : 0;
    const avoided = request.avoided.has(server.id) ? avoidedCost : 0;
    // A long-running task keeps its server in its pool: it goes where one is already.
    const alone = step.longRunning && server.longRunningTasks === 0 ? emptyCost : 0;
    return left / 1000 + farFromData + avoided + server.penalty + alone + (server.tasks === 0 ? emptyCost : 0);
}

function groupByRack(servers: readonly ServerLoad[]): ServerLoad[][] {
    const groups = new Map<string, ServerLoad[]>();
    for (const server of servers) {
        const group = groups.get(server.rack) ?? [];
        group.push(server);
        groups.set(server.rack, group);
    }
    return [...groups.values()];
}
