/**
 * Runs one case: starts a small deployment of the deploy file's command on the project's stand-ins, records what was sent,
 * answered and run, and ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
 */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as fs from "node:fs";
import * as path from "node:path";
import * as timers from "node:timers/promises";

/** Bounds of the small deployments in the users' pages (razitko-print). */
const bounds = {
    SeedLagS: 3,
    ReuseAfterS: 2,
    ContactMs: 3000,
    AckMs: 4000,
    CatchUpS: 4,
    DrainMs: 2000,
    GraceS: 6,
    LossSlackMs: 200,
    ConfigApplyMs: 2000,
    RollbackSlackMs: 250,
    MaxExtensionMs: 5000,
    RecoveryS: 12,
    HoldMaxMs: 6000,
    StopMs: 200,
    GangMs: 3000,
    cancel_ms: 3000,
    visible_ms: 3000,
    early_ms: 250,
    finish_s: 14,
    status_s: 120,
    RemoteFactor: 3,
    CheckpointS: 1,
    RestoreMs: 600,
    NoticeMs: 4500,
    MigrateS: 1.5,
    MaintenanceS: 2,
    FencingEnabled: false,
    LeaseMs: 3000,
    ThawMs: 300,
    PaceMs: 100,
    InterferenceMs: 4000,
};
/** Machine of an entry instance there. */
const limits = { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000 };
/** Largest body of a submission there, in bytes. */
const maxBodyBytes = 262_144;
/** Time in ms after which the whole case is given up. */
const caseTimeout = 110_000;
/** Time in ms after which the platform restarts a process that has ended. */
const restartDelay = 500;
/** Time in ms between two checks whether processes have ended. */
const restartCheckInterval = 50;

const repository = path.resolve(import.meta.dirname, "../../..");
const program = path.join(repository, "target/catkinwharf-node.mjs");
/** Arguments of Node in deploy/system.toml. */
const nodeArguments = ["--max-old-space-size=200", "--min-semi-space-size=4"];

export interface CaseContext {
    /** Whether the disruption takes place. */
    readonly trouble: boolean;
    readonly deployment: platformStandIns.StandInDeployment;
    /** Writes a line to the record. */
    readonly record: (text: string) => void;
    /** Number of times that each process has ended by itself, by name. */
    readonly ends: ReadonlyMap<string, number>;
}

export interface CaseOptions {
    /** Number of the case's folder. */
    readonly number: number;
    readonly queues: readonly platformStandIns.QueueDescription[];
    readonly processes: number;
    readonly machines: Readonly<Record<string, number>>;
    /** Changes of the stand-ins before they start. */
    readonly prepare?: (deployment: platformStandIns.StandInDeployment) => void;
    readonly openStore?: (
        deployment: () => platformStandIns.StandInDeployment,
        name: string,
    ) => Promise<string>;
    /** Plays the case; returns a description of how the rule was broken, `undefined` if it held. */
    readonly play: (context: CaseContext) => Promise<string | undefined>;
}

/** Plays a case and ends this process. */
export async function runCase(options: CaseOptions): Promise<void> {
    const trouble = process.env["TROUBLE"] !== "0";
    const startedAt = performance.now();
    const file = path.join(repository, `review/${options.number}/record.txt`);
    fs.writeFileSync(file, "");
    const record = (text: string) => {
        const time = ((performance.now() - startedAt) / 1000).toFixed(3).padStart(8);
        fs.appendFileSync(file, `${time} ${text}\n`);
    };
    record(`case ${options.number}, ${trouble ? "with" : "without"} the disruption`);
    let deployment: platformStandIns.StandInDeployment | undefined;
    let exitCode = 2;
    const ends = new Map<string, number>();
    let watching = true;
    try {
        if (!fs.existsSync(program)) {
            throw new Error("target/catkinwharf-node.mjs isn't built");
        }
        const created: platformStandIns.StandInDeployment = new platformStandIns.StandInDeployment(options.queues, {
            program,
            nodeArguments,
            bounds,
            maxBodyBytes,
            settings: { Limits: limits, HeartbeatMs: 1500 },
            ...options.openStore === undefined
                ? {}
                : { openStore: (name: string) => options.openStore!(() => created, name) },
        });
        deployment = created;
        options.prepare?.(created);
        await created.start(options.processes, options.machines);
        record(`started ${options.processes} entry processes, coordinator ${created.findCoordinator()?.name}`);
        void watchEnds(created, ends, record, () => watching);
        const timeout = timers.setTimeout(caseTimeout).then(() => {
            throw new Error(`the case took more than ${caseTimeout} ms`);
        });
        const broken = await Promise.race([options.play({ trouble, deployment: created, record, ends }), timeout]);
        record(broken === undefined ? "the rule held" : `rule broken: ${broken}`);
        exitCode = broken === undefined ? 0 : 1;
    }
    catch (error) {
        record(`the case couldn't run: ${error instanceof Error ? error.stack : String(error)}`);
    }
    watching = false;
    await deployment?.stop();
    process.exit(exitCode);
}

/** Restarts processes that have ended by themselves, as the platform does, and counts their ends. */
async function watchEnds(
    deployment: platformStandIns.StandInDeployment,
    ends: Map<string, number>,
    record: (text: string) => void,
    isWatching: () => boolean,
): Promise<void> {
    while (isWatching()) {
        for (const node of deployment.processes) {
            const { child } = node;
            if (child !== undefined && (child.exitCode !== null || child.signalCode !== null)) { // eslint-disable-line no-restricted-syntax -- Node's types
                ends.set(node.name, (ends.get(node.name) ?? 0) + 1);
                record(`${node.name} ended by itself, exit code ${child.exitCode}, signal ${child.signalCode}`);
                node.child = undefined;
                setTimeout(() => {
                    if (isWatching()) {
                        deployment.launch(node);
                        record(`${node.name} started again`);
                    }
                }, restartDelay);
            }
        }
        await timers.setTimeout(restartCheckInterval);
    }
}

/** Formats a number as a job ID. */
export function formatId(number: number): string {
    return number.toString(16).padStart(16, "0");
}

/** Polls until the condition is met; false if it isn't within the time in ms. */
export async function isMetWithin(timeout: number, isMet: () => boolean | Promise<boolean>): Promise<boolean> {
    const deadline = performance.now() + timeout;
    while (!await isMet()) {
        if (performance.now() > deadline) {
            return false;
        }
        await timers.setTimeout(50);
    }
    return true;
}

/** Ends of a process by itself, and processes with so many, that make a fault by the rule of that name. */
const endsPerProcess = 3;
const processesWithEnds = 2;

/** Describes the ends of processes by themselves if they make a fault; `undefined` if they don't. */
export function findFault(ends: ReadonlyMap<string, number>): string | undefined {
    const faulty = [...ends].filter(([, count]) => count >= endsPerProcess);
    return faulty.length < processesWithEnds
        ? undefined
        : `processes ended by themselves: ${faulty.map(([name, count]) => `${name} ${count} times`).join(", ")}`;
}
