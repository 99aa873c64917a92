/**
 * Faults that a soak run injects. Each function injects one fault and returns how to end it.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as operatorClient from "./operator-client.js";
import * as randomSource from "./random-source.js";
import * as setUp from "./set-up.js";

/** An injected fault. */
export interface ActiveFault {
    /** What the fault affects, for the report. */
    readonly subject: string;
    /** Time in ms after which the fault ends. */
    readonly durationMs: number;
    end(): Promise<void>;
}

/** Context that is passed to every fault. */
export interface FaultContext {
    readonly running: testUtils.RunningDeployment;
    readonly random: randomSource.RandomSource;
    /** Names of entry instances that a fault killed, froze or stopped and that have not been restored. */
    readonly unavailableEntries: Set<string>;
    /** Returns a new number for the name of a planned stop. */
    nextStopNumber(): number;
}

/** Injects a fault; resolves with undefined if it can't be injected now. */
export type Fault = (context: FaultContext) => Promise<ActiveFault | undefined>;

const doNothing = (): Promise<void> => Promise.resolve();

function pickAvailableEntry(context: FaultContext): testUtils.RunningEntry | undefined {
    const available = context.running.entries.filter(entry => !context.unavailableEntries.has(entry.name));
    return available.length < 2 ? undefined : context.random.pick(available);
}

function drawDuration(context: FaultContext, minMs: number, maxMs: number): number {
    return minMs + context.random.nextBelow(maxMs - minMs);
}

async function killEntry(context: FaultContext): Promise<ActiveFault | undefined> {
    const entry = pickAvailableEntry(context);
    if (entry === undefined) {
        return undefined;
    }
    context.unavailableEntries.add(entry.name);
    await context.running.killEntry(entry.name);
    return {
        subject: entry.name,
        durationMs: drawDuration(context, 500, 6_000),
        end: async () => {
            await context.running.startEntry(entry.name);
            context.unavailableEntries.delete(entry.name);
        },
    };
}

async function freezeEntry(context: FaultContext): Promise<ActiveFault | undefined> {
    const entry = pickAvailableEntry(context);
    if (entry === undefined) {
        return undefined;
    }
    context.unavailableEntries.add(entry.name);
    testUtils.signalProcess(entry.handle, "SIGSTOP");
    return {
        subject: entry.name,
        durationMs: drawDuration(context, 1_000, 15_000),
        end: () => {
            testUtils.signalProcess(entry.handle, "SIGCONT");
            context.unavailableEntries.delete(entry.name);
            return Promise.resolve();
        },
    };
}

/** Shuts an entry process down gracefully and starts it again, like a replacement of the entry instance. */
async function replaceEntry(context: FaultContext): Promise<ActiveFault | undefined> {
    const entry = pickAvailableEntry(context);
    if (entry === undefined) {
        return undefined;
    }
    context.unavailableEntries.add(entry.name);
    testUtils.signalProcess(entry.handle, "SIGTERM");
    return {
        subject: entry.name,
        durationMs: drawDuration(context, 2_000, 5_000),
        end: async () => {
            await entry.handle.exited;
            await context.running.startEntry(entry.name);
            context.unavailableEntries.delete(entry.name);
        },
    };
}

async function cutZone(context: FaultContext): Promise<ActiveFault | undefined> {
    const zones = context.running.deployment.availabilityZones.map(zone => zone.name);
    const zone = context.random.pick(zones);
    if (context.running.cutZones.size > 0) {
        return undefined;
    }
    await testUtils.cutZone(context.running, zone);
    return {
        subject: zone,
        durationMs: drawDuration(context, 2_000, 20_000),
        end: () => testUtils.healZone(context.running, zone),
    };
}

function createPlatformFault(
    faults: testUtils.PlatformFaults,
    cleared: testUtils.PlatformFaults,
    maxMs: number,
): Fault {
    return async context => {
        const { controlPort } = context.running.platform;
        await testUtils.setFaults(controlPort, faults);
        return {
            subject: "platform",
            durationMs: drawDuration(context, 500, maxMs),
            end: () => testUtils.setFaults(controlPort, cleared),
        };
    };
}

function createBackendServerFault(
    faults: testUtils.BackendServerFaults,
    cleared: testUtils.BackendServerFaults,
): Fault {
    return async context => {
        const server = context.random.pick(context.running.backendServers);
        await testUtils.setFaults(server.controlPort, faults);
        return {
            subject: server.instance,
            durationMs: drawDuration(context, 1_000, 8_000),
            end: () => testUtils.setFaults(server.controlPort, cleared),
        };
    };
}

async function announceStop(context: FaultContext): Promise<ActiveFault | undefined> {
    const entry = pickAvailableEntry(context);
    if (entry === undefined) {
        return undefined;
    }
    const servers = context.running.backendServers;
    const targets = context.random.next() < 0.5
        ? { racks: [context.random.pick(servers).rack] }
        : { instances: [context.random.pick(servers).instance, context.random.pick(servers).instance] };
    const stop = { name: `soak-stop-${context.nextStopNumber()}`, reason: "soak", targets };
    const client = new operatorClient.OperatorClient(entry.operatorUrl, context.running.operatorKey);
    const answer = await client.announceStop(stop).catch(() => undefined);
    return { subject: `${stop.name} ${answer?.status ?? "unanswered"}`, durationMs: 0, end: doNothing };
}

/**
 * Two operators publish a configuration at the same time with the same expected version. In half of the cases, one of
 * the configurations moves a planned instance between two pools.
 */
async function raceOperators(context: FaultContext): Promise<ActiveFault | undefined> {
    const indexes = [0, 1].map(() => context.random.nextBelow(context.running.entries.length));
    const clients = indexes.map(index => setUp.createOperatorClient(context.running, index));
    const status = await clients[0]?.readStatus().catch(() => undefined);
    if (status === undefined) {
        return undefined;
    }
    const current = context.running.configuration();
    const changed = context.random.next() < 0.5 ? current : setUp.shiftPlannedInstance(current);
    const answers = await Promise.all(
        [current, changed].map((configuration, index) =>
            clients[index]?.publishConfiguration(configuration, status.configurationVersion).catch(() => undefined)
        ),
    );
    const statuses = answers.map(answer => answer?.status ?? "unanswered");
    return { subject: `version ${status.configurationVersion}: ${statuses.join(", ")}`, durationMs: 0, end: doNothing };
}

/** Faults by name. */
export const soakFaults: Readonly<Record<string, Fault>> = {
    "kill-entry": killEntry,
    "freeze-entry": freezeEntry,
    "replace-entry": replaceEntry,
    "cut-zone": cutZone,
    "platform-down": createPlatformFault({ down: true }, { down: false }, 15_000),
    "platform-frozen": createPlatformFault({ freeze: true }, { freeze: false }, 8_000),
    "platform-slow": createPlatformFault({ slowMs: 400 }, { slowMs: 0 }, 8_000),
    "platform-refuses": createPlatformFault({ refuseAppends: true }, { refuseAppends: false }, 5_000),
    "answers-lost": createPlatformFault({ loseAnswers: "all" }, { loseAnswers: 0 }, 4_000),
    "connections-silent": createBackendServerFault({ freezeExisting: true }, { freezeExisting: false }),
    "server-fails-all": createBackendServerFault({ failAll: true }, { failAll: false }),
    "server-accepts-only": createBackendServerFault({ acceptOnly: true }, { acceptOnly: false }),
    "server-slow": createBackendServerFault({ slowFactor: 10 }, { slowFactor: 1 }),
    "server-refuses": createBackendServerFault({ refuse: true }, { refuse: false }),
    "answers-cut": createBackendServerFault({ cutMidAnswer: true }, { cutMidAnswer: false }),
    "answers-crossed": createBackendServerFault({ wrongRequestId: true }, { wrongRequestId: false }),
    "planned-stop": announceStop,
    "operator-race": raceOperators,
};
