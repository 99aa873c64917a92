/**
 * Runs real entry processes against the stand-ins under random faults that come in series and overlap.
 *
 * The seed determines the faults, their times and the load; how the processes react also depends on the machine.
 */
import * as bench from "@catkinwharf/bench";
import type * as jobState from "@catkinwharf/job-state";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as fs from "node:fs";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as faults from "./faults.js";
import * as inquiry from "./inquiry.js";
import * as judgement from "./judgement.js";
import * as load from "./load.js";
import * as organisations from "./organisations.js";
import * as unaskedRuns from "./unasked-runs.js";

const queues: readonly platformStandIns.QueueDescription[] = [
    { name: "quotes", service: "pricing" },
    { name: "receipts", service: "archive" },
];
const noLostJobs: inquiry.LostJobs = { lost: [], late: [] };
/** Bounds of the users' smaller deployments; named as in the settings file. */
const bounds = {
    GraceS: 2,
    HoldMaxMs: 10_000,
    LeaseMs: 3000,
    StopMs: 200,
    ConfigApplyMs: 2000,
    RevokeMs: 5000,
    status_s: 120,
};
/** Latest reading in ms at which a server's clock begins. */
const maxFirstClock = 9_000_000;
/** Mbit/s that processes are told of their links, but for a slow one. */
const fastLinkRate = 100;
/** Racks of the machines. */
const rackCount = 3;
/** Time in ms without faults before the first one, and after the last. */
const calmBefore = 2000;
const calmAfter = 4000;
/** Time in ms between two looks for processes that have ended by themselves; less than one is down before it starts again. */
const watchInterval = 50;

export interface SoakOptions {
    readonly seed: number;
    /** Time in ms in which faults begin. */
    readonly duration: number;
    /** Mean time in ms between the beginnings of two faults. */
    readonly faultInterval: number;
    readonly processes: number;
    readonly machinesPerService: number;
    /** Mean number of jobs per second. */
    readonly rate: number;
    /** Whether the deployment has organisations; with odd seeds unless given. */
    readonly hasOrganisations?: boolean;
    /** Mean time in ms between the beginnings of two faults of whole racks; none unless given. */
    readonly rackFaultInterval?: number;
    /** Mean time in ms between the beginnings of two faults of writes beside cancels; none unless given. */
    readonly lateWriteInterval?: number;
    /** Whether some jobs have very many tasks, times or steps, and some callers give up and cancel. */
    readonly hasStrainingJobs?: boolean;
    /** Bytes per second at which the last process reads from the store; that of the others unless given. */
    readonly slowLink?: number;
    /** Whether all processes are killed at once when the other faults have ended. */
    readonly killsAllAtEnd?: boolean;
    /** Whether each process is asked for each job at the end. */
    readonly asksForJobs?: boolean;
    /** Whether some jobs can't be done, as their tasks fail or crash their servers. */
    readonly hasFaultyJobs?: boolean;
    /** Names of the faults to draw from, but for those of whole racks; all unless given. */
    readonly faultNames: readonly string[] | undefined;
    /** Program of the entry processes, of this version unless given. */
    readonly program: string | undefined;
    /** Folder for the logs of the processes; not written unless given. */
    readonly logFolder: string | undefined;
    readonly onFault: (line: string) => void;
}

export interface SoakSummary extends judgement.Judgement {
    /** Jobs that went on only after they should have, see `inquiry.LostJobs`; no rule counts them. */
    readonly lateJobs: readonly string[];
    readonly faults: number;
    readonly terms: number;
    readonly submitted: number;
    /** Jobs whose callers gave up, and were told that the job is cancelled or unknown. */
    readonly withdrawn: number;
    /** Processes that ended by themselves. */
    readonly ownEnds: number;
    readonly accepted: number;
    readonly runs: number;
    readonly hasOrganisations: boolean;
}

/** A fault that is to begin. */
interface PlannedFault {
    /** Ms after the first one may begin. */
    readonly at: number;
    readonly name: string;
    readonly seed: number;
}

function planFaults(
    { seed, duration, faultInterval, rackFaultInterval, lateWriteInterval, faultNames }: SoakOptions,
): PlannedFault[] {
    const names = faultNames ?? Object.keys(faults.faults);
    const planned = drawFaults(new bench.RandomSource(seed), names, faultInterval, duration);
    // Their draws change none of the others.
    const ofRacks = rackFaultInterval === undefined
        ? []
        : drawFaults(new bench.RandomSource(seed + 5000), Object.keys(faults.rackFaults), rackFaultInterval, duration);
    const ofLateWrites = lateWriteInterval === undefined
        ? []
        : drawFaults(
            new bench.RandomSource(seed + 6000),
            Object.keys(faults.lateWriteFaults),
            lateWriteInterval,
            duration,
        );
    return [...planned, ...ofRacks, ...ofLateWrites].sort((a, b) => a.at - b.at);
}

function drawFaults(
    random: bench.RandomSource,
    names: readonly string[],
    interval: number,
    duration: number,
): PlannedFault[] {
    const planned: PlannedFault[] = [];
    for (let at = 0; at < duration; at += random.nextExponential(interval)) {
        planned.push({ at, name: random.pick(names), seed: random.nextBelow(2 ** 31) });
    }
    return planned;
}

/** Runs the soak; throws if the deployment doesn't start, or a process doesn't start again as another program has its port. */
export async function runSoak(options: SoakOptions): Promise<SoakSummary> {
    // The first numbers of successive seeds are close to each other, so none is drawn for this.
    const hasOrganisations = options.hasOrganisations ?? options.seed % 2 === 1;
    const customers = hasOrganisations
        ? new organisations.Organisations(new bench.RandomSource(options.seed + 2000), bounds.RevokeMs)
        : undefined;
    const fronts = new Map<string, faults.FaultyFront>();
    const deployment: platformStandIns.StandInDeployment = new platformStandIns.StandInDeployment(queues, {
        program: options.program,
        bounds,
        contracts: customers === undefined ? [] : ["tenants"],
        organisations: customers?.present ?? [],
        openStore: async name => {
            const front = new faults.FaultyFront(deployment.store, new bench.RandomSource(options.seed + fronts.size));
            fronts.set(name, front);
            if (options.slowLink !== undefined && fronts.size === options.processes) {
                front.front.bandwidth = options.slowLink;
            }
            await front.front.start();
            return front.front.address;
        },
    });
    const clocks = new bench.RandomSource(options.seed + 3000);
    deployment.machines.rackCount = rackCount;
    deployment.machines.drawFirstClock = () => clocks.nextBelow(maxFirstClock);
    const callers = new load.Load({
        deployment,
        queues: queues.map(({ name }) => name),
        random: new bench.RandomSource(options.seed + 1000),
        rate: options.rate,
        maxLease: bounds.HoldMaxMs,
        organisations: customers,
        faultyJobs: options.hasFaultyJobs === true ? new bench.RandomSource(options.seed + 4000) : undefined,
        strainingJobs: options.hasStrainingJobs === true ? new bench.RandomSource(options.seed + 7000) : undefined,
    });
    const ended = new Set<number>();
    const watch = setInterval(() => noteOwnEnds(deployment.processes, ended), watchInterval);
    const killProcesses = () => deployment.processes.forEach(({ child }) => child?.kill("SIGKILL"));
    process.once("exit", killProcesses);
    try {
        await deployment.start(
            options.processes,
            Object.fromEntries(queues.map(({ service }) => [service, options.machinesPerService])),
            index =>
                options.slowLink === undefined ? undefined : findCapacity(index, options.processes, options.slowLink),
        );
        const loading = Promise.all([callers.run(), customers?.run(deployment)]);
        await timers.setTimeout(calmBefore);
        const count = await injectFaults(options, deployment, fronts);
        await timers.setTimeout(calmAfter);
        callers.stop();
        customers?.stop();
        await loading;
        await callers.drain();
        assertPortsFree(deployment.processes);
        const { lost, late } = options.asksForJobs !== true ? noLostJobs : await inquiry.findLostJobs({
            deployment,
            callers,
            organisations: customers,
            services: new Map(queues.map(({ name, service }) => [name, service])),
        });
        const { history } = deployment.machines;
        const terms = faults.listTerms(deployment.processes, "coordinating");
        return {
            duplicateRuns: judgement.findDuplicateRuns(history, terms),
            concurrentCoordinators: judgement.findConcurrentCoordinators(deployment.machines.orders, terms),
            lostJobs: [...callers.denials, ...lost],
            lateJobs: late,
            unaskedRuns: unaskedRuns.findUnaskedRuns(history, callers.withdrawn, Date.now()),
            withdrawn: callers.withdrawn.size,
            ownEnds: ended.size,
            quotaExcesses: customers?.findQuotaExcesses(history) ?? [],
            foreignRequests: customers?.findForeignRequests(callers.acceptedRequests, history) ?? [],
            hasOrganisations,
            faults: count,
            terms: terms.length,
            submitted: callers.submitted,
            accepted: callers.accepted.size,
            runs: history.length,
        };
    }
    finally {
        process.off("exit", killProcesses);
        clearInterval(watch);
        callers.close();
        writeLogs(options.logFolder, deployment);
        await deployment.stop();
        fronts.forEach(({ front }) => front.stop());
    }
}

/** Begins the planned faults at their times and ends each after its duration; returns how many began. */
async function injectFaults(
    options: SoakOptions,
    deployment: platformStandIns.StandInDeployment,
    fronts: ReadonlyMap<string, faults.FaultyFront>,
): Promise<number> {
    const beganAt = performance.now();
    const disturbed = new Set<string>();
    let wave = 0;
    let count = 0;
    const inject = async ({ name, seed }: PlannedFault) => {
        const random = new bench.RandomSource(seed);
        const context = { deployment, fronts, random, disturbed, nextWave: () => wave += 1 };
        const active = await { ...faults.faults, ...faults.rackFaults, ...faults.lateWriteFaults }[name]!(context);
        if (active === undefined) {
            return;
        }
        count += 1;
        options.onFault(`${new Date().toISOString()} ${name}: ${active.subject}, ${active.duration} ms`);
        await timers.setTimeout(active.duration);
        await active.end();
    };
    const injections: Promise<void>[] = [];
    for (const planned of planFaults(options)) {
        await timers.setTimeout(Math.max(0, planned.at - (performance.now() - beganAt)));
        injections.push(inject(planned));
    }
    await Promise.all(injections);
    await timers.setTimeout(Math.max(0, options.duration - (performance.now() - beganAt)));
    if (options.killsAllAtEnd === true) {
        await inject({ at: options.duration, name: "kill-all", seed: options.seed });
    }
    return count;
}

/** What processes know of their links, if the last one has a slow one, in bytes per second. */
function findCapacity(index: number, processes: number, slowLink: number): jobState.ProcessCapacity {
    return { cores: undefined, linkRate: index === processes - 1 ? slowLink * 8 / 1_000_000 : fastLinkRate };
}

/** Adds the process IDs of those that were aborted, as when their memory is used up; no fault does that. */
function noteOwnEnds(processes: readonly platformStandIns.EntryProcess[], ended: Set<number>): void {
    for (const { child } of processes) {
        if (child?.pid !== undefined && child.signalCode === "SIGABRT") {
            ended.add(child.pid);
        }
    }
}

/** Ports are free again while a process is down, and other programs of the machine draw from the same range. */
function assertPortsFree(processes: readonly platformStandIns.EntryProcess[]): void {
    const failed = processes.find(({ lines }) => lines.some(line => line.includes('"event":"listen-failed"')));
    if (failed !== undefined) {
        throw new Error(`${failed.name} couldn't listen, as another program had taken its port: nothing is judged`);
    }
}

function writeLogs(folder: string | undefined, deployment: platformStandIns.StandInDeployment): void {
    if (folder === undefined) {
        return;
    }
    fs.mkdirSync(folder, { recursive: true });
    for (const { name, lines } of deployment.processes) {
        fs.writeFileSync(path.join(folder, `${name}.log`), lines.join("\n"));
    }
    writeLines(path.join(folder, "runs.jsonl"), deployment.machines.history);
    writeLines(path.join(folder, "appends.jsonl"), deployment.store.appends);
}

function writeLines(file: string, rows: readonly object[]): void {
    fs.writeFileSync(file, rows.map(row => JSON.stringify(row)).join("\n"));
}
