/**
 * The faults that a soak run injects, as a table: each one does harm, and answers how to end it.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as operator from "./operator.js";
import * as randomSource from "./random-source.js";
import * as setUp from "./set-up.js";

/** A fault that has begun. */
export interface ActiveFault {
    /** What was harmed, for the report. */
    readonly subject: string;
    /** Time in ms that it lasts. */
    readonly durationMs: number;
    end(): Promise<void>;
}

/** What a fault may use. */
export interface FaultContext {
    readonly running: testUtils.RunningDeployment;
    readonly random: randomSource.RandomSource;
    /** Names of entry instances that were killed or frozen and have not come back. */
    readonly absent: Set<string>;
    /** Counts planned stops, for their names. */
    nextNumber(): number;
}

/** Begins a fault; undefined if it can't be done now. */
export type Fault = (context: FaultContext) => Promise<ActiveFault | undefined>;

const nothing = (): Promise<void> => Promise.resolve();

function pickPresent(context: FaultContext): testUtils.RunningEntry | undefined {
    const present = context.running.entries.filter(entry => !context.absent.has(entry.name));
    return present.length < 2 ? undefined : context.random.pick(present);
}

function drawDuration(context: FaultContext, minMs: number, maxMs: number): number {
    return minMs + context.random.nextBelow(maxMs - minMs);
}

async function killEntry(context: FaultContext): Promise<ActiveFault | undefined> {
    const entry = pickPresent(context);
    if (entry === undefined) {
        return undefined;
    }
    context.absent.add(entry.name);
    await context.running.killEntry(entry.name);
    return {
        subject: entry.name,
        durationMs: drawDuration(context, 500, 6_000),
        end: async () => {
            await context.running.startEntry(entry.name);
            context.absent.delete(entry.name);
        },
    };
}

async function freezeEntry(context: FaultContext): Promise<ActiveFault | undefined> {
    const entry = pickPresent(context);
    if (entry === undefined) {
        return undefined;
    }
    context.absent.add(entry.name);
    testUtils.signalProcess(entry.handle, "SIGSTOP");
    return {
        subject: entry.name,
        durationMs: drawDuration(context, 1_000, 15_000),
        end: () => {
            testUtils.signalProcess(entry.handle, "SIGCONT");
            context.absent.delete(entry.name);
            return Promise.resolve();
        },
    };
}

/** A graceful restart, as a replacement of the instance would be. */
async function replaceEntry(context: FaultContext): Promise<ActiveFault | undefined> {
    const entry = pickPresent(context);
    if (entry === undefined) {
        return undefined;
    }
    context.absent.add(entry.name);
    testUtils.signalProcess(entry.handle, "SIGTERM");
    return {
        subject: entry.name,
        durationMs: drawDuration(context, 2_000, 5_000),
        end: async () => {
            await entry.handle.exited;
            await context.running.startEntry(entry.name);
            context.absent.delete(entry.name);
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

function faultPlatform(faults: testUtils.PlatformFaults, healed: testUtils.PlatformFaults, maxMs: number): Fault {
    return async context => {
        const { controlPort } = context.running.platform;
        await testUtils.setFaults(controlPort, faults);
        return {
            subject: "platform",
            durationMs: drawDuration(context, 500, maxMs),
            end: () => testUtils.setFaults(controlPort, healed),
        };
    };
}

function faultBackendServer(
    faults: testUtils.BackendServerFaults,
    healed: testUtils.BackendServerFaults,
): Fault {
    return async context => {
        const server = context.random.pick(context.running.backendServers);
        await testUtils.setFaults(server.controlPort, faults);
        return {
            subject: server.instance,
            durationMs: drawDuration(context, 1_000, 8_000),
            end: () => testUtils.setFaults(server.controlPort, healed),
        };
    };
}

async function announceStop(context: FaultContext): Promise<ActiveFault | undefined> {
    const entry = pickPresent(context);
    if (entry === undefined) {
        return undefined;
    }
    const servers = context.running.backendServers;
    const targets = context.random.next() < 0.5
        ? { racks: [context.random.pick(servers).rack] }
        : { instances: [context.random.pick(servers).instance, context.random.pick(servers).instance] };
    const stop = { name: `soak-stop-${context.nextNumber()}`, reason: "soak", targets };
    const one = new operator.Operator(entry.operatorUrl, context.running.operatorKey);
    const answer = await one.announceStop(stop).catch(() => undefined);
    return { subject: `${stop.name} ${answer?.status ?? "unanswered"}`, durationMs: 0, end: nothing };
}

/** Two operators publish at once; one also moves an instance's worth of plan between two pools. */
async function raceOperators(context: FaultContext): Promise<ActiveFault | undefined> {
    const indexes = [0, 1].map(() => context.random.nextBelow(context.running.entries.length));
    const operators = indexes.map(index => setUp.createOperator(context.running, index));
    const shown = await operators[0]?.readStatus().catch(() => undefined);
    if (shown === undefined) {
        return undefined;
    }
    const base = context.running.configuration();
    const changed = context.random.next() < 0.5 ? base : setUp.shiftPlan(base);
    const answers = await Promise.all(
        [base, changed].map((configuration, index) =>
            operators[index]?.publishConfiguration(configuration, shown.configurationVersion).catch(() => undefined)
        ),
    );
    const statuses = answers.map(answer => answer?.status ?? "unanswered");
    return { subject: `version ${shown.configurationVersion}: ${statuses.join(", ")}`, durationMs: 0, end: nothing };
}

/** Every fault by name. */
export const soakFaults: Readonly<Record<string, Fault>> = {
    "kill-entry": killEntry,
    "freeze-entry": freezeEntry,
    "replace-entry": replaceEntry,
    "cut-zone": cutZone,
    "platform-down": faultPlatform({ down: true }, { down: false }, 15_000),
    "platform-frozen": faultPlatform({ freeze: true }, { freeze: false }, 8_000),
    "platform-slow": faultPlatform({ slowMs: 400 }, { slowMs: 0 }, 8_000),
    "platform-refuses": faultPlatform({ refuseAppends: true }, { refuseAppends: false }, 5_000),
    "answers-lost": faultPlatform({ loseAnswers: "all" }, { loseAnswers: 0 }, 4_000),
    "connections-silent": faultBackendServer({ freezeExisting: true }, { freezeExisting: false }),
    "server-fails-all": faultBackendServer({ failAll: true }, { failAll: false }),
    "server-accepts-only": faultBackendServer({ acceptOnly: true }, { acceptOnly: false }),
    "server-slow": faultBackendServer({ slowFactor: 10 }, { slowFactor: 1 }),
    "server-refuses": faultBackendServer({ refuse: true }, { refuse: false }),
    "answers-cut": faultBackendServer({ cutMidAnswer: true }, { cutMidAnswer: false }),
    "answers-crossed": faultBackendServer({ wrongRequestId: true }, { wrongRequestId: false }),
    "planned-stop": announceStop,
    "operator-race": raceOperators,
};
