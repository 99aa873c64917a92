/**
 * Faults that a soak injects. Each function begins one and returns how to end it.
 */
import * as bench from "@catkinwharf/bench";
import * as jobState from "@catkinwharf/job-state";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";
import * as groups from "./groups.js";
import * as judgement from "./judgement.js";

const { StoreFault } = platformStandIns;

/** A fault that has begun. */
export interface ActiveFault {
    /** What it affects, for the report. */
    readonly subject: string;
    /** In ms. */
    readonly duration: number;
    readonly end: () => void | Promise<void>;
}

export interface FaultContext {
    readonly deployment: platformStandIns.StandInDeployment;
    /** The store as each process reaches it, by the name of the process. */
    readonly fronts: ReadonlyMap<string, FaultyFront>;
    readonly random: bench.RandomSource;
    /** Processes that a fault has killed, paused or is restarting, and servers that one is about to cut off. */
    readonly disturbed: Set<string>;
    readonly nextWave: () => number;
}

export type Fault = (context: FaultContext) => Promise<ActiveFault | undefined>;

/** A fault of a share of the calls that one process sends to the store. */
interface CallFault {
    readonly scope: CallScope;
    readonly fault: platformStandIns.StoreFault;
    readonly share: number;
    /** In ms, of late and slow calls. */
    readonly minDelay: number;
    readonly maxDelay: number;
}

interface CallScope {
    readonly name: string;
    readonly includes: (call: platformStandIns.StoreCall) => boolean;
}

const appends: CallScope = { name: "appends", includes: call => call.isAppend };
const heartbeats: CallScope = { name: "heartbeats", includes: call => call.isAppend && call.body.includes("leader") };
/** Appends without records, with which a process takes an epoch. */
const fences: CallScope = { name: "fences", includes: call => call.isAppend && call.body.length === 0 };

/** Calls to the store that a fault may affect. */
const callScopes: readonly CallScope[] = [
    { name: "calls", includes: () => true },
    { name: "calls", includes: () => true },
    appends,
    { name: "reads", includes: call => !call.isAppend },
    { name: "calls to the ledger", includes: call => call.topic === jobState.ledgerTopic },
    { name: "appends to the ledger", includes: call => call.isAppend && call.topic === jobState.ledgerTopic },
    { name: "calls to the submissions", includes: call => call.topic === jobState.submissionsTopic },
];

/** The store as one process reaches it, with all faults that are in force there. */
export class FaultyFront {
    readonly front: platformStandIns.StoreFront;
    readonly #faults = new Set<CallFault>();

    constructor(store: platformStandIns.StoreStandIn, random: bench.RandomSource) {
        this.front = new platformStandIns.StoreFront(store);
        this.front.findFault = call => {
            for (const { fault, scope, share, minDelay, maxDelay } of this.#faults) {
                if (scope.includes(call) && random.next() < share) {
                    return { fault, delay: minDelay + random.next() * (maxDelay - minDelay) };
                }
            }
            return undefined;
        };
    }

    add(fault: CallFault): void {
        this.#faults.add(fault);
    }

    remove(fault: CallFault): void {
        this.#faults.delete(fault);
    }
}

/** Longest time in ms for which a server that restarts carries out nothing. */
const maxDarkTime = 700;
/** Longest time in ms until a server registers its new boot: the users' interval of its reports. */
const maxRegistrationDelay = 1500;
/** In ms: by how much servers carry out calls of a former life late, and for how long before the first restart they get these. */
const formerLifeLateness = { min: 2000, max: 12_000 };
const formerLifeCalls = { min: 200, max: 1500 };
/** Longest time in ms between two restarts of a server, and from the last one until all its calls are carried out in time. */
const maxLifeTime = 2000;
/** Share of the servers that restarts with a cut leave alone, so that the load goes on. */
const minServingShare = 0.5;
/** Time in ms between two looks for new terms in the logs, which would take too long at every call. */
const termsInterval = 100;
/** In ms: for how long a rack is dark, and from when one is back until the next one is dark; both at once for a short time at most. */
const minDarkness = 1000;
const maxDarkness = 6000;
const maxRackOverlap = 500;
const maxRackGap = 1500;
/** Time in ms in which a throttled process runs once. */
const throttlePeriod = 50;

function draw(random: bench.RandomSource, min: number, max: number): number {
    return Math.round(min + random.next() * (max - min));
}

/** Picks a process that no other fault affects, the coordinator half of the time. */
function pickProcess({ deployment, random, disturbed }: FaultContext): platformStandIns.EntryProcess | undefined {
    const isFree = (node: platformStandIns.EntryProcess) => node.child !== undefined && !disturbed.has(node.name);
    const coordinator = deployment.findCoordinator();
    const prefersCoordinator = random.next() < 0.5;
    const free = deployment.processes.filter(isFree);
    const picked = free.length === 0 ? undefined : random.pick(free);
    return prefersCoordinator && coordinator !== undefined && isFree(coordinator) ? coordinator : picked;
}

/** Kills processes and starts them again. */
async function killProcesses(
    { deployment, disturbed }: FaultContext,
    nodes: readonly platformStandIns.EntryProcess[],
    duration: number,
): Promise<ActiveFault> {
    nodes.forEach(node => disturbed.add(node.name));
    await Promise.all(nodes.map(node => deployment.kill(node)));
    return {
        subject: nodes.map(node => node.name).join(", "),
        duration,
        end: () => {
            for (const node of nodes) {
                deployment.launch(node);
                disturbed.delete(node.name);
            }
        },
    };
}

async function killOne(context: FaultContext): Promise<ActiveFault | undefined> {
    const node = pickProcess(context);
    return node === undefined ? undefined : killProcesses(context, [node], draw(context.random, 0, 3000));
}

/** Kills the coordinator, and starts it again about when another process claims. */
async function killCoordinator(context: FaultContext): Promise<ActiveFault | undefined> {
    const node = context.deployment.findCoordinator();
    return node?.child === undefined || context.disturbed.has(node.name)
        ? undefined
        : killProcesses(context, [node], draw(context.random, 0, 2500));
}

/**
 * Kills the coordinator while its last heartbeat is under way, which is carried out around the time at which another
 * process takes over and the killed one is started again. Appends that set the epoch may be late meanwhile.
 */
async function killBeforeLastHeartbeat(context: FaultContext): Promise<ActiveFault | undefined> {
    const { deployment, fronts, random, disturbed } = context;
    const node = deployment.findCoordinator();
    const front = node === undefined ? undefined : fronts.get(node.name);
    if (node?.child === undefined || front === undefined || disturbed.has(node.name)) {
        return undefined;
    }
    disturbed.add(node.name); // So that no other fault kills it meanwhile: it would be started twice.
    const lateness = draw(random, 900, 1800);
    const delays = { minDelay: lateness, maxDelay: lateness };
    const last = { fault: StoreFault.late, share: 1, ...delays, scope: heartbeats };
    front.add(last);
    await timers.setTimeout(draw(random, 320, 500));
    const killed = await killProcesses(context, [node], draw(random, 400, 1600));
    front.remove(last);
    const late = { fault: StoreFault.late, share: 0.6, minDelay: 1000, maxDelay: 6000, scope: fences };
    fronts.forEach(other => other.add(late));
    setTimeout(() => fronts.forEach(other => other.remove(late)), 2500);
    return { ...killed, subject: `${killed.subject}, last heartbeat carried out after ${lateness} ms` };
}

async function killAll(context: FaultContext): Promise<ActiveFault | undefined> {
    const nodes = context.deployment.processes.filter(({ name, child }) =>
        child !== undefined && !context.disturbed.has(name)
    );
    return killProcesses(context, nodes, draw(context.random, 100, 2000));
}

function pause(context: FaultContext): Promise<ActiveFault | undefined> {
    const node = pickProcess(context);
    if (node?.child === undefined) {
        return Promise.resolve(undefined);
    }
    const { child } = node;
    context.disturbed.add(node.name);
    child.kill("SIGSTOP");
    return Promise.resolve({
        subject: node.name,
        duration: draw(context.random, 300, 8000),
        end: () => {
            child.kill("SIGCONT");
            context.disturbed.delete(node.name);
        },
    });
}

/** Pauses a process again and again, as if it had a fraction of a core. */
function throttle(context: FaultContext): Promise<ActiveFault | undefined> {
    const node = pickProcess(context);
    if (node?.child === undefined) {
        return Promise.resolve(undefined);
    }
    const { child } = node;
    context.disturbed.add(node.name);
    const share = 0.02 + 0.3 * context.random.next();
    const timer = setInterval(() => {
        child.kill("SIGSTOP");
        setTimeout(() => child.kill("SIGCONT"), throttlePeriod * (1 - share));
    }, throttlePeriod);
    return Promise.resolve({
        subject: `${node.name}, runs ${Math.round(100 * share)} % of the time`,
        duration: draw(context.random, 1000, 8000),
        end: async () => {
            clearInterval(timer);
            await timers.setTimeout(throttlePeriod);
            child.kill("SIGCONT");
            context.disturbed.delete(node.name);
        },
    });
}

function restart(context: FaultContext): Promise<ActiveFault | undefined> {
    const { deployment, disturbed } = context;
    const node = pickProcess(context);
    if (node === undefined) {
        return Promise.resolve(undefined);
    }
    disturbed.add(node.name);
    const ended = deployment.signal(node, "SIGTERM");
    return Promise.resolve({
        subject: node.name,
        duration: 0,
        end: async () => {
            await ended;
            deployment.launch(node);
            disturbed.delete(node.name);
        },
    });
}

/** Creates a fault of calls to the store, of all processes or of some. */
function createStoreFault(
    fault: platformStandIns.StoreFault,
    range: { readonly share: readonly [number, number]; readonly delay?: readonly [number, number]; },
): Fault {
    return ({ fronts, random }) => {
        const [minShare, maxShare] = range.share;
        const [minDelay, maxDelay] = range.delay ?? [0, 0];
        const share = minShare + random.next() * (maxShare - minShare);
        const scope = random.pick(callScopes);
        const callFault = { fault, scope, share, minDelay, maxDelay: minDelay + random.next() * (maxDelay - minDelay) };
        const affected = random.next() < 0.5 ? 1 : 0.2 + 0.6 * random.next();
        const chosen = [...fronts].filter(() => random.next() < affected);
        chosen.forEach(([, front]) => front.add(callFault));
        return Promise.resolve({
            subject: `${chosen.map(([name]) => name).join(", ")}, ${Math.round(100 * share)} % of the ${scope.name}`,
            duration: draw(random, 300, 6000),
            end: () => chosen.forEach(([, front]) => front.remove(callFault)),
        });
    };
}

/** Carries out a share of the appends of all processes late, for longer than a takeover takes. */
const delayAppends: Fault = ({ fronts, random }) => {
    const late = { fault: StoreFault.late, share: 0.35, minDelay: 500, maxDelay: 6000, scope: appends };
    fronts.forEach(front => front.add(late));
    return Promise.resolve({
        subject: "all processes",
        duration: draw(random, 4000, 15_000),
        end: () => fronts.forEach(front => front.remove(late)),
    });
};

const resetConnections: Fault = ({ fronts, random }) => {
    const chosen = [...fronts].filter(() => random.next() < 0.5);
    chosen.forEach(([, { front }]) => front.reset());
    return Promise.resolve({ subject: chosen.map(([name]) => name).join(", "), duration: 0, end: () => undefined });
};

const dropHistory: Fault = ({ deployment, random }) => {
    const timer = setInterval(() => deployment.store.dropHistory(), 20);
    return Promise.resolve({
        subject: "all topics",
        duration: draw(random, 0, 1500),
        end: () => clearInterval(timer),
    });
};

function pickMachine({ deployment, random }: FaultContext): platformStandIns.Machine | undefined {
    const up = [...deployment.machines.machines.values()].filter(hasServer);
    return up.length === 0 ? undefined : random.pick(up);
}

function crashServer(context: FaultContext): Promise<ActiveFault | undefined> {
    const machine = pickMachine(context);
    if (machine !== undefined) {
        context.deployment.machines.crash(machine);
    }
    return Promise.resolve(machine && { subject: machine.id, duration: 0, end: () => undefined });
}

function rebootServer(context: FaultContext): Promise<ActiveFault | undefined> {
    const machine = pickMachine(context);
    if (machine !== undefined) {
        context.deployment.machines.reboot(machine);
    }
    return Promise.resolve(machine && { subject: machine.id, duration: 0, end: () => undefined });
}

/** @returns the time in ms until the next boot carries out calls */
function restartSilently({ deployment, random }: FaultContext, machine: platformStandIns.Machine): number {
    const darkTime = draw(random, 50, maxDarkTime);
    deployment.machines.rebootSilently(machine, darkTime, draw(random, 0, maxRegistrationDelay));
    return darkTime;
}

function restartServerSilently(context: FaultContext): Promise<ActiveFault | undefined> {
    const machine = pickMachine(context);
    if (machine === undefined) {
        return Promise.resolve(undefined);
    }
    const darkTime = restartSilently(context, machine);
    return Promise.resolve({ subject: `${machine.id}, dark for ${darkTime} ms`, duration: 0, end: () => undefined });
}

/** A machine whose server is up. */
type ServingMachine = platformStandIns.Machine & { readonly server: platformStandIns.ServerStandIn; };

function hasServer(machine: platformStandIns.Machine): machine is ServingMachine {
    return machine.server !== undefined;
}

/** Picks machines that no other fault affects, so that at least `minServingShare` of them all serve. */
function pickServingMachines({ deployment, random, disturbed }: FaultContext, share: number): ServingMachine[] {
    const machines = [...deployment.machines.machines.values()].filter(hasServer);
    const free = machines.filter(({ server }) =>
        server.mode === platformStandIns.ServerMode.up && !disturbed.has(server.id)
    );
    const count = Math.floor(Math.min(share * machines.length, free.length - minServingShare * machines.length));
    return Array.from({ length: Math.max(0, count) }, () => free.splice(random.nextBelow(free.length), 1)[0]!);
}

/**
 * Restarts some servers silently and then cuts them off from all processes, perhaps before a coordinator has listed the new
 * boots; what runs there goes on. Sometimes the coordinator is killed between the two.
 */
function createRestartAndCut(
    restartServers: (context: FaultContext, machines: readonly ServingMachine[]) => void | Promise<void>,
): Fault {
    return async context => {
        const { random, disturbed } = context;
        const machines = pickServingMachines(context, 0.2 + 0.3 * random.next());
        if (machines.length === 0) {
            return undefined;
        }
        const servers = machines.map(({ server }) => server);
        servers.forEach(({ id }) => disturbed.add(id));
        await restartServers(context, machines);
        const untilCut = draw(random, 300, 3000);
        const untilKill = random.next() < 0.4 ? draw(random, 0, untilCut) : undefined;
        await timers.setTimeout(untilKill ?? untilCut);
        const killed = untilKill === undefined ? undefined : await killCoordinator(context);
        void timers.setTimeout(killed?.duration ?? 0).then(killed?.end);
        await timers.setTimeout(untilCut - (untilKill ?? untilCut));
        for (const server of servers) {
            server.mode = platformStandIns.ServerMode.silent;
        }
        const note = killed === undefined ? "" : `, ${killed.subject} killed after ${untilKill} ms`;
        return {
            subject: `${servers.map(({ id }) => id).join(", ")}, cut off after ${untilCut} ms${note}`,
            duration: draw(random, 5000, 12_000),
            end: () => {
                for (const server of servers) {
                    server.mode = platformStandIns.ServerMode.up;
                    disturbed.delete(server.id);
                }
            },
        };
    };
}

function restartOnce(context: FaultContext, machines: readonly ServingMachine[]): void {
    machines.forEach(machine => restartSilently(context, machine));
}

/** Restarts the servers once or twice; a share of their calls is carried out late, by whichever boot is up then. */
async function restartBeforeLateCalls(context: FaultContext, machines: readonly ServingMachine[]): Promise<void> {
    const { random } = context;
    const share = 0.2 + 0.6 * random.next();
    const servers = machines.map(({ server }) => server);
    for (const server of servers) {
        server.findLateness = () =>
            random.next() < share ? draw(random, formerLifeLateness.min, formerLifeLateness.max) : undefined;
    }
    await timers.setTimeout(draw(random, formerLifeCalls.min, formerLifeCalls.max));
    for (let restarts = 1 + random.nextBelow(2); restarts > 0; restarts--) {
        restartOnce(context, machines.filter(({ server }, i) => server === servers[i]));
        await timers.setTimeout(draw(random, 0, maxLifeTime));
    }
    for (const server of servers) {
        server.findLateness = () => undefined;
    }
}

function silenceServer(context: FaultContext): Promise<ActiveFault | undefined> {
    const server = pickMachine(context)?.server;
    if (server === undefined) {
        return Promise.resolve(undefined);
    }
    server.mode = platformStandIns.ServerMode.silent;
    return Promise.resolve({
        subject: server.id,
        duration: draw(context.random, 300, 8000),
        end: () => {
            server.mode = platformStandIns.ServerMode.up;
        },
    });
}

function delayOrders(context: FaultContext): Promise<ActiveFault | undefined> {
    const { random, deployment } = context;
    const share = 0.05 + 0.3 * random.next();
    const servers = [...deployment.machines.machines.values()].flatMap(machine => machine.server ?? []);
    for (const server of servers) {
        server.findLateness = () => random.next() < share ? draw(random, 500, 5000) : undefined;
    }
    return Promise.resolve({
        subject: `${Math.round(100 * share)} % of the calls to ${servers.length} servers`,
        duration: draw(random, 500, 5000),
        end: () => {
            for (const server of servers) {
                server.findLateness = () => undefined;
            }
        },
    });
}

/** Cuts a coordinator off from some of the servers, also in later terms. */
function cutFromServers(context: FaultContext): Promise<ActiveFault | undefined> {
    const { deployment, random } = context;
    const node = deployment.findCoordinator();
    if (node === undefined) {
        return Promise.resolve(undefined);
    }
    const share = 0.3 + 0.7 * random.next();
    const servers = [...deployment.machines.machines.values()].flatMap(machine => machine.server ?? [])
        .filter(() => random.next() < share);
    const { name } = node;
    let terms = listTerms(deployment.processes, "claimed");
    const timer = setInterval(() => terms = listTerms(deployment.processes, "claimed"), termsInterval);
    for (const server of servers) {
        server.isCutOff = token => judgement.findTerms(token, terms).some(term => term.node === name);
    }
    return Promise.resolve({
        subject: `${name} from ${servers.length} servers`,
        duration: draw(random, 500, 9000),
        end: () => {
            clearInterval(timer);
            for (const server of servers) {
                server.isCutOff = () => false;
            }
        },
    });
}

/** Terms that the processes have claimed, or in which they began to coordinate, by their logs. */
export function listTerms(
    nodes: readonly platformStandIns.EntryProcess[],
    event: "claimed" | "coordinating",
): judgement.Term[] {
    return nodes.flatMap(({ name, lines }) =>
        lines.filter(line => line.includes(`"event":"${event}"`))
            .map(line => ({ node: name, epoch: (JSON.parse(line) as { readonly epoch: number; }).epoch }))
    );
}

function changeConfiguration({ deployment }: FaultContext): Promise<ActiveFault> {
    deployment.publishConfiguration();
    return Promise.resolve({ subject: "configuration", duration: 0, end: () => undefined });
}

function startWave({ deployment, random, nextWave }: FaultContext): Promise<ActiveFault> {
    const machines = [...deployment.machines.machines.keys()].filter(() => random.next() < 0.3);
    const number = nextWave();
    deployment.publishWave(number, machines, draw(random, 8000, 20_000), 2);
    return Promise.resolve({ subject: machines.join(", "), duration: 0, end: () => undefined });
}

/** Kills one process after the other, at short intervals. */
async function killInSeries(context: FaultContext): Promise<ActiveFault | undefined> {
    const kills = 2 + context.random.nextBelow(3);
    for (let i = 1; i < kills; i++) {
        const killed = await killOne(context);
        if (killed !== undefined) {
            void timers.setTimeout(killed.duration).then(killed.end);
        }
        await timers.setTimeout(draw(context.random, 200, 1500));
    }
    return killOne(context);
}

/** Racks of the machines, each with those of its machines that have a server. */
function groupByRack({ deployment }: FaultContext): ServingMachine[][] {
    return [...groups.groupBy([...deployment.machines.machines.values()], ({ rack }) => rack).values()]
        .map(machines => machines.filter(hasServer));
}

/** Takes the power of machines; returns how to give it back. */
function darken({ deployment, random }: FaultContext, machines: readonly ServingMachine[]): () => void {
    const restores = machines.map(machine => deployment.machines.cutPower(machine));
    const keepsIds = random.next() < 0.5;
    return () => restores.forEach(restore => restore(keepsIds));
}

/** A rack loses its power, and all its servers with it, and gets it back. */
function darkenRack(context: FaultContext): Promise<ActiveFault | undefined> {
    const machines = context.random.pick(groupByRack(context));
    const restore = darken(context, machines);
    return Promise.resolve({
        subject: machines.map(({ id }) => id).join(", "),
        duration: draw(context.random, minDarkness, maxDarkness),
        end: restore,
    });
}

/** The same of one rack after the other, each one about when the one before is back. */
async function darkenRacksInTurn(context: FaultContext): Promise<ActiveFault | undefined> {
    const { random } = context;
    const racks = groupByRack(context).length;
    const first = random.nextBelow(racks);
    for (let i = 1; i < racks; i++) {
        const restore = darken(context, groupByRack(context)[(first + i) % racks]!);
        const duration = draw(random, minDarkness, maxDarkness);
        void timers.setTimeout(duration).then(restore);
        await timers.setTimeout(duration + draw(random, -maxRackOverlap, maxRackGap));
    }
    const last = darken(context, groupByRack(context)[first]!);
    return {
        subject: `${racks} racks`,
        duration: Math.max(draw(random, minDarkness, maxDarkness), maxRackOverlap),
        end: last,
    };
}

/** The servers of a rack can't be reached for a while; what runs there goes on. */
function cutRackOff(context: FaultContext): Promise<ActiveFault | undefined> {
    const servers = context.random.pick(groupByRack(context)).map(({ server }) => server);
    servers.forEach(server => server.mode = platformStandIns.ServerMode.silent);
    return Promise.resolve({
        subject: servers.map(({ id }) => id).join(", "),
        duration: draw(context.random, minDarkness, maxDarkness),
        end: () => servers.forEach(server => server.mode = platformStandIns.ServerMode.up),
    });
}

/**
 * The store carries out submissions, and what else is stored beside them, so late that their callers have given up and cancelled
 * the jobs.
 */
const delaySubmissions: Fault = ({ fronts, random }) => {
    const scope = { name: "submissions", includes: isSubmission };
    const late = { fault: StoreFault.late, share: 0.5 + random.next() / 2, minDelay: 3000, maxDelay: 10_000, scope };
    fronts.forEach(front => front.add(late));
    return Promise.resolve({
        subject: "all processes",
        duration: draw(random, 500, 3000),
        end: () => fronts.forEach(front => front.remove(late)),
    });
};

function isSubmission({ isAppend, topic }: platformStandIns.StoreCall): boolean {
    return isAppend && topic === jobState.submissionsTopic;
}

/** Faults of writes beside cancels. */
export const lateWriteFaults: Readonly<Record<string, Fault>> = {
    "store-late-submissions": delaySubmissions,
    "store-late-appends": delayAppends,
};

/** Faults of whole racks. */
export const rackFaults: Readonly<Record<string, Fault>> = {
    "rack-dark": darkenRack,
    "racks-dark-in-turn": darkenRacksInTurn,
    "rack-cut-off": cutRackOff,
};

export const faults: Readonly<Record<string, Fault>> = {
    "kill": killOne,
    "kill-in-series": killInSeries,
    "kill-coordinator": killCoordinator,
    "kill-before-last-heartbeat": killBeforeLastHeartbeat,
    "kill-all": killAll,
    pause,
    throttle,
    restart,
    "store-refuses": createStoreFault(StoreFault.refused, { share: [0.3, 1] }),
    "store-unreachable": createStoreFault(StoreFault.unreachable, { share: [1, 1] }),
    "store-slow": createStoreFault(StoreFault.slow, { share: [0.5, 1], delay: [20, 1200] }),
    "store-loses-answers": createStoreFault(StoreFault.lost, { share: [0.05, 0.5] }),
    "store-late": createStoreFault(StoreFault.late, { share: [0.05, 0.5], delay: [500, 6000] }),
    "store-late-appends": delayAppends,
    "store-partial": createStoreFault(StoreFault.partial, { share: [0.05, 0.5] }),
    "store-resets": resetConnections,
    "store-drops-history": dropHistory,
    "server-crash": crashServer,
    "server-reboot": rebootServer,
    "server-restart-silent": restartServerSilently,
    "servers-restarted-and-cut": createRestartAndCut(restartOnce),
    "servers-restarted-before-late-calls": createRestartAndCut(restartBeforeLateCalls),
    "server-silent": silenceServer,
    "server-late-orders": delayOrders,
    "servers-cut": cutFromServers,
    "configuration": changeConfiguration,
    "wave": startWave,
};
