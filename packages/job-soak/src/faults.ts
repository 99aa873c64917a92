/**
 * Faults that a soak injects. Each function begins one and returns how to end it.
 */
import * as bench from "@catkinwharf/bench";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";

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
    /** Processes that a fault has killed, paused or is restarting. */
    readonly disturbed: Set<string>;
    readonly nextWave: () => number;
}

export type Fault = (context: FaultContext) => Promise<ActiveFault | undefined>;

/** A fault of a share of the calls that one process sends to the store. */
interface CallFault {
    readonly fault: platformStandIns.StoreFault;
    readonly share: number;
    /** In ms, of late and slow calls. */
    readonly minDelay: number;
    readonly maxDelay: number;
    /** Whether the call may go wrong; any may unless given. */
    readonly matches?: (url: URL, body: Buffer) => boolean;
}

/** The store as one process reaches it, with all faults that are in force there. */
export class FaultyFront {
    readonly front: platformStandIns.StoreFront;
    readonly #faults = new Set<CallFault>();

    constructor(store: platformStandIns.StoreStandIn, random: bench.RandomSource) {
        this.front = new platformStandIns.StoreFront(store);
        this.front.findFault = (url, body) => {
            for (const { fault, share, minDelay, maxDelay, matches } of this.#faults) {
                if (matches?.(url, body) !== false && random.next() < share) {
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

const isAppend = (url: URL) => url.pathname === "/-/log-append";
/** Whether the call appends a record of the ledger about its coordinator, as heartbeats do. */
const isHeartbeat = (url: URL, body: Buffer) => isAppend(url) && body.includes("leader");
const isFence = (url: URL, body: Buffer) => isAppend(url) && url.searchParams.has("Producer") && body.length === 0;

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
    const last = { fault: StoreFault.late, share: 1, ...delays, matches: isHeartbeat };
    front.add(last);
    await timers.setTimeout(draw(random, 320, 500));
    const killed = await killProcesses(context, [node], draw(random, 400, 1600));
    front.remove(last);
    const late = { fault: StoreFault.late, share: 0.6, minDelay: 1000, maxDelay: 6000, matches: isFence };
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
        const callFault = { fault, share, minDelay, maxDelay: minDelay + random.next() * (maxDelay - minDelay) };
        const affected = random.next() < 0.5 ? 1 : 0.2 + 0.6 * random.next();
        const chosen = [...fronts].filter(() => random.next() < affected);
        chosen.forEach(([, front]) => front.add(callFault));
        return Promise.resolve({
            subject: `${chosen.map(([name]) => name).join(", ")}, ${Math.round(100 * share)} % of the calls`,
            duration: draw(random, 300, 6000),
            end: () => chosen.forEach(([, front]) => front.remove(callFault)),
        });
    };
}

/** Carries out a share of the appends of all processes late, for longer than a takeover takes. */
const delayAppends: Fault = ({ fronts, random }) => {
    const late = { fault: StoreFault.late, share: 0.35, minDelay: 500, maxDelay: 6000, matches: isAppend };
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
    const up = [...deployment.machines.machines.values()].filter(machine => machine.server !== undefined);
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

export const faults: Readonly<Record<string, Fault>> = {
    "kill": killOne,
    "kill-in-series": killInSeries,
    "kill-coordinator": killCoordinator,
    "kill-before-last-heartbeat": killBeforeLastHeartbeat,
    "kill-all": killAll,
    pause,
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
    "server-silent": silenceServer,
    "server-late-orders": delayOrders,
    "configuration": changeConfiguration,
    "wave": startWave,
};
