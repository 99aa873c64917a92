/**
 * Codec of the records in the store's keyed topics.
 *
 * Every process appends to the submissions topic: the jobs and cancellations that it receives from callers, and its own
 * address. The coordinator removes settled jobs from it.
 *
 * Only the coordinator appends to the ledger: its identity, the progress of jobs and maintenance waves, the boots of the
 * backend servers, and its orders to move or maintain machines, the instances on which these run.
 */
import * as cbor from "cbor-x";
import * as jobs from "./job.js";
import * as progress from "./progress.js";

export const submissionsTopic = "keyed.submissions";
export const ledgerTopic = "keyed.ledger";
/**
 * Producer name under which coordinators append to the ledger. The store refuses an append under it whose epoch is
 * lower than one that it has seen, so a replaced coordinator can't append any more.
 */
export const ledgerProducer = "coordinator";

const KeyPrefix = { job: "j:", cancellation: "c:", progress: "p:" } as const;
const leaderKey = "leader";
const nodePrefix = "n:";
const wavePrefix = "w:";
const machinePrefix = "m:";
const serverPrefix = "s:";

/** The elected leader, called the coordinator: a process appends it to claim an epoch, then as its heartbeat. */
export interface Leadership {
    /** Number of the coordinator's term: each claim takes the one after the last. */
    readonly epoch: number;
    /** Name of the process that coordinates. */
    readonly node: string;
    /** Unix time in ms at which the process started; distinguishes restarts under the same name. */
    readonly processStart: number;
    /** The coordinator has ended its term, so that another process may claim the next epoch at once. */
    readonly resigned: boolean;
    /**
     * Only if it resigned: all its machine orders were answered, so its successor may order these machines at once.
     * Otherwise the successor first waits until the platform's minimum separation of two coordinators' orders has
     * passed.
     */
    readonly ordersSettled: boolean;
    /**
     * Ms from the coordinator's claim to this record, on its monotonic clock. The difference to the tenure of a machine
     * order is the minimum age of that order, which a successor thus knows without trusting a wall clock.
     */
    readonly tenure: number;
    /** Ms by which the coordinator's timers have lately been late: how long it may be silent for being busy. */
    readonly lateness: number;
    /** Ms for which a task that becomes ready now waits because the coordinator can't start more at a time. */
    readonly startDelay: number;
}

export type SubmissionRecord =
    | { readonly kind: "job"; readonly job: jobs.Job; }
    | { readonly kind: "cancellation"; readonly id: string; readonly cancelledAt: number; };

export type LedgerRecord =
    | { readonly kind: "leadership"; readonly leadership: Leadership; }
    | { readonly kind: "progress"; readonly id: string; readonly progress: progress.Progress; }
    /** Stored before the coordinator of `epoch` sends an order for the machine `id`, `tenure` ms after its claim. */
    | { readonly kind: "machine"; readonly id: string; readonly epoch: number; readonly tenure: number; }
    | { readonly kind: "wave"; readonly number: number; readonly wave: WaveProgress; }
    /** `undefined` for a server that coordinators don't know any more. */
    | { readonly kind: "server"; readonly id: string; readonly boot: ServerBoot | undefined; };

/** A boot of a backend server that coordinators know. Stored before an order gives the boot a lease. */
export interface ServerBoot {
    /** Unix time in ms of the boot; `undefined` if the server doesn't tell. */
    readonly bootedAt: number | undefined;
    /**
     * On the clock of this boot, in ms: latest end of a lease that an order meant for an earlier boot may have given it;
     * `undefined` if there is none or it is over.
     */
    readonly leaseEnd: number | undefined;
}

/** Progress of a maintenance wave. */
export interface WaveProgress {
    /** IDs of the machines that need no further order: the platform accepted one, or says they aren't in the wave. */
    readonly begun: readonly string[];
    /** All machines of the wave that the platform lists are back from maintenance. */
    readonly completed: boolean;
    /** Unix time in ms at which a coordinator first saw the wave; its duration counts from then. */
    readonly seenAt: number;
}

/** One record of a keyed topic. */
export interface KeyedRecord {
    readonly key: string;
    /** Empty in a tombstone, which makes the store drop the key. */
    readonly value: Uint8Array;
}

/** A `TaskHistory` as it is stored, under one-letter keys. */
interface StoredHistory {
    /** Index of the task, counted over all steps. */
    readonly t: number;
    /** `lastRun`. */
    readonly l: number;
    /** `failures`. */
    readonly f: number;
    /** `crashes`, `soleCrashes` and `startsAlone`; absent when there were no crashes. */
    readonly x?: readonly [number, number, boolean];
    /** `runs`: number and server of each, then `outlastedStart` and `crashCounted` up to the last that is true. */
    readonly r: readonly (readonly [number, string, boolean?, boolean?])[];
    /** `checkpoint`. */
    readonly c: string;
}

/** An `OccurrenceProgress` as it is stored. */
interface StoredOccurrence {
    /** Number of the occurrence. */
    readonly k: number;
    /** Number of tasks. */
    readonly n: number;
    /** `done`, eight flags to a byte, the lowest bit first. */
    readonly d: Uint8Array;
    /** `histories`, but for those in `g`. */
    readonly h: readonly StoredHistory[];
    /**
     * Tasks whose only run so far, number 1, is under way without a checkpoint, by server. In a burst nearly all are of
     * this kind, and every process reads each of these records over its link; absent in records of earlier versions.
     */
    readonly g?: readonly [string, readonly number[]][];
}

/** A `Progress` as it is stored. */
interface StoredProgress {
    /** `status`. */
    readonly s: jobs.JobStatus;
    /** `statusAt`. */
    readonly a: number;
    /** `begun`. */
    readonly b: boolean;
    /** `occurrences`. */
    readonly o: readonly StoredOccurrence[];
}

/** Without the extensions of cbor-x: objects become plain CBOR maps, byte arrays plain byte strings. */
const cborCodec = new cbor.Encoder({ useRecords: false, tagUint8Array: false });

/** Key of a job's record in the submissions topic. */
export function formatJobKey(id: string): string {
    return KeyPrefix.job + id;
}

export function encodeJob(job: jobs.Job): KeyedRecord {
    return { key: formatJobKey(job.id), value: cborCodec.encode(job) };
}

export function encodeCancellation(id: string, cancelledAt: number): KeyedRecord {
    return { key: KeyPrefix.cancellation + id, value: cborCodec.encode({ cancelledAt }) };
}

/** Tombstones of a job and of its cancellation, for the submissions topic. */
export function encodeJobTombstones(id: string): KeyedRecord[] {
    return [formatJobKey(id), KeyPrefix.cancellation + id].map(key => ({ key, value: new Uint8Array() }));
}

/** Tombstone of a job's progress, for the ledger. */
export function encodeProgressTombstone(id: string): KeyedRecord {
    return { key: KeyPrefix.progress + id, value: new Uint8Array() };
}

/** Id of the job that a tombstone deletes; `undefined` for any other record. */
export function decodeJobTombstone(key: string, value: Uint8Array): string | undefined {
    return value.length === 0 && key.startsWith(KeyPrefix.job) ? key.slice(KeyPrefix.job.length) : undefined;
}

export function encodeLeadership(leadership: Leadership): KeyedRecord {
    return { key: leaderKey, value: cborCodec.encode(leadership) };
}

export function encodeWaveProgress(number: number, wave: WaveProgress): KeyedRecord {
    return { key: wavePrefix + number, value: cborCodec.encode(wave) };
}

export function encodeMachineOrder(id: string, epoch: number, tenure: number): KeyedRecord {
    return { key: machinePrefix + id, value: cborCodec.encode({ epoch, tenure }) };
}

export function encodeServerBoot(id: string, { bootedAt, leaseEnd }: ServerBoot): KeyedRecord {
    const stored = {
        ...bootedAt === undefined ? {} : { b: bootedAt },
        ...leaseEnd === undefined ? {} : { u: leaseEnd },
    };
    return { key: serverPrefix + id, value: cborCodec.encode(stored) };
}

export function encodeServerTombstone(id: string): KeyedRecord {
    return { key: serverPrefix + id, value: new Uint8Array() };
}

/**
 * Encodes a job's progress. Of a settled job without runs only the status is stored: no task of it will start again.
 */
export function encodeProgress(id: string, current: progress.Progress): KeyedRecord {
    const stored: StoredProgress = {
        s: current.status,
        a: current.statusAt,
        b: current.begun,
        o: progress.isSettled(current.status) && !progress.hasRuns(current)
            ? []
            : [...current.occurrences].map(([occurrence, occurrenceProgress]) =>
                encodeOccurrence(occurrence, occurrenceProgress)
            ),
    };
    return { key: KeyPrefix.progress + id, value: cborCodec.encode(stored) };
}

function encodeOccurrence(occurrence: number, occurrenceProgress: progress.OccurrenceProgress): StoredOccurrence {
    const histories: StoredHistory[] = [];
    const firstRuns = new Map<string, number[]>();
    for (const [task, history] of occurrenceProgress.histories) {
        if (isFirstRun(history) && occurrenceProgress.done[task] !== 1) {
            const { server } = history.runs[0]!;
            const tasks = firstRuns.get(server);
            if (tasks === undefined) {
                firstRuns.set(server, [task]);
            }
            else {
                tasks.push(task);
            }
        }
        else if (occurrenceProgress.done[task] !== 1 || history.runs.length > 0) {
            histories.push({
                t: task,
                l: history.lastRun,
                f: history.failures,
                ...history.crashes > 0
                    ? { x: [history.crashes, history.soleCrashes, history.startsAlone] as const }
                    : {},
                r: history.runs.map(encodeRun),
                c: history.checkpoint,
            });
        }
    }
    return {
        k: occurrence,
        n: occurrenceProgress.done.length,
        d: packFlags(occurrenceProgress.done),
        h: histories,
        ...firstRuns.size === 0 ? {} : { g: [...firstRuns] },
    };
}

/** Whether the task's only run so far, number 1, is under way, and nothing else is known of the task. */
function isFirstRun(history: progress.TaskHistory): boolean {
    return history.runs.length === 1 && history.runs[0]!.number === 1 && history.lastRun === 1
        && history.failures === 0 && history.crashes === 0 && !history.startsAlone && history.checkpoint === ""
        && history.runs[0]!.outlastedStart !== true && history.runs[0]!.crashCounted !== true;
}

function encodeRun({ number, server, outlastedStart, crashCounted }: progress.Run): StoredHistory["r"][number] {
    return crashCounted === true
        ? [number, server, outlastedStart === true, true]
        : outlastedStart === true
        ? [number, server, true]
        : [number, server];
}

function restoreRun([number, server, outlastedStart, crashCounted]: StoredHistory["r"][number]): progress.Run {
    return {
        number,
        server,
        ...outlastedStart === true ? { outlastedStart } : {},
        ...crashCounted === true ? { crashCounted } : {},
    };
}

function packFlags(flags: Uint8Array): Uint8Array {
    const packed = new Uint8Array(Math.ceil(flags.length / 8));
    flags.forEach((flag, i) => {
        packed[i >> 3]! |= flag << (i & 7);
    });
    return packed;
}

function unpackFlags(packed: Uint8Array, length: number): Uint8Array {
    return Uint8Array.from({ length }, (_, i) => ((packed[i >> 3] ?? 0) >> (i & 7)) & 1);
}

/**
 * Decodes a job or a cancellation from the submissions topic; `undefined` for any other record. Callers try
 * `decodeNode` and `decodeJobTombstone` first, which decode the other kinds.
 */
export function decodeSubmission(key: string, value: Uint8Array): SubmissionRecord | undefined {
    const decoded = decode(value);
    if (decoded === undefined) {
        return undefined;
    }
    if (key.startsWith(KeyPrefix.job) && isJob(decoded)) {
        return { kind: "job", job: selectKnownRoute(decoded) };
    }
    if (key.startsWith(KeyPrefix.cancellation) && isObject(decoded) && typeof decoded["cancelledAt"] === "number") {
        return {
            kind: "cancellation",
            id: key.slice(KeyPrefix.cancellation.length),
            cancelledAt: decoded["cancelledAt"],
        };
    }
    return undefined;
}

/**
 * Encodes jobs that couldn't be stored, for the coordinator. Without their payloads, which say nothing about the
 * capacity that they need.
 */
export function encodeUnstoredJobs(unstored: readonly jobs.Job[]): Uint8Array {
    return cborCodec.encode(unstored.map(job => ({ ...job, payload: "" })));
}

/** Decodes jobs that a process couldn't store; leaves out malformed ones. */
export function decodeUnstoredJobs(value: Uint8Array): jobs.Job[] {
    const decoded = decode(value);
    return Array.isArray(decoded) ? decoded.filter(job => isJob(job)).map(job => selectKnownRoute(job)) : [];
}

/** Leaves out a route that can't be read; records of earlier versions lack it. */
function selectKnownRoute(job: jobs.Job): jobs.Job {
    return { ...job, route: isRouteTerms(job.route) ? job.route : undefined };
}

/** Whether a record of the ledger holds the progress of a job, by its key. */
export function isProgressKey(key: string): boolean {
    return key.startsWith(KeyPrefix.progress);
}

/**
 * Decodes a record of the ledger; `undefined` for one that is malformed, of an unknown kind or a tombstone, but for that of
 * a server.
 */
export function decodeLedger(key: string, value: Uint8Array): LedgerRecord | undefined {
    if (key.startsWith(serverPrefix)) {
        return { kind: "server", id: key.slice(serverPrefix.length), boot: decodeServerBoot(value) };
    }
    const decoded = decode(value);
    if (decoded === undefined) {
        return undefined;
    }
    if (key === leaderKey && isLeadership(decoded)) {
        // Records of earlier versions lack `ordersSettled` and the fields after it, those of waves `seenAt`.
        const ordersSettled = decoded.ordersSettled === true;
        const tenure = Number(decoded.tenure ?? 0);
        const lateness = Number(decoded.lateness ?? 0);
        const startDelay = Number(decoded.startDelay ?? 0);
        return { kind: "leadership", leadership: { ...decoded, ordersSettled, tenure, lateness, startDelay } };
    }
    if (key.startsWith(machinePrefix) && isObject(decoded) && typeof decoded["epoch"] === "number") {
        const tenure = Number(decoded["tenure"] ?? 0);
        return { kind: "machine", id: key.slice(machinePrefix.length), epoch: decoded["epoch"], tenure };
    }
    if (key.startsWith(wavePrefix) && isObject(decoded) && Array.isArray(decoded["begun"])) {
        return {
            kind: "wave",
            number: Number(key.slice(wavePrefix.length)),
            wave: {
                begun: decoded["begun"].map(String),
                completed: decoded["completed"] === true,
                seenAt: Number(decoded["seenAt"] ?? 0),
            },
        };
    }
    if (isProgressKey(key) && isStoredProgress(decoded)) {
        return { kind: "progress", id: key.slice(KeyPrefix.progress.length), progress: restoreProgress(decoded) };
    }
    return undefined;
}

function decodeServerBoot(value: Uint8Array): ServerBoot | undefined {
    const stored = value.length === 0 ? undefined : decode(value);
    return isObject(stored) ? { bootedAt: readTime(stored["b"]), leaseEnd: readTime(stored["u"]) } : undefined;
}

function readTime(value: unknown): number | undefined {
    return typeof value === "number" ? value : undefined;
}

function decode(value: Uint8Array): unknown {
    try {
        return cborCodec.decode(value);
    }
    catch {
        return undefined; // Callers skip such records; `JobTable` counts those of the submissions topic.
    }
}

function restoreProgress(stored: StoredProgress): progress.Progress {
    const restored = progress.createProgress(stored.a);
    restored.status = stored.s;
    restored.begun = stored.b;
    for (const storedOccurrence of stored.o) {
        const done = unpackFlags(storedOccurrence.d, storedOccurrence.n);
        const histories = new Map<number, progress.TaskHistory>();
        for (const task of storedOccurrence.h) {
            histories.set(task.t, {
                lastRun: task.l,
                failures: task.f,
                crashes: task.x?.[0] ?? 0,
                soleCrashes: task.x?.[1] ?? 0,
                startsAlone: task.x?.[2] ?? false,
                runs: task.r.map(restoreRun),
                checkpoint: task.c,
            });
        }
        for (const [server, tasks] of storedOccurrence.g ?? []) {
            for (const task of tasks) {
                histories.set(task, {
                    lastRun: 1,
                    failures: 0,
                    crashes: 0,
                    soleCrashes: 0,
                    startsAlone: false,
                    runs: [{ number: 1, server }],
                    checkpoint: "",
                });
            }
        }
        restored.occurrences.set(storedOccurrence.k, {
            done,
            doneCount: done.reduce((sum, flag) => sum + flag, 0),
            histories,
        });
    }
    return restored;
}

function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && !!value;
}

function isJob(value: unknown): value is jobs.Job {
    return isObject(value) && typeof value["id"] === "string" && typeof value["queue"] === "string"
        && Array.isArray(value["steps"]) && typeof value["submittedAt"] === "number"
        && hasTaskCounts(value["steps"]);
}

/** Whether the steps have numbers of tasks that this process has memory for; earlier versions stored any. */
function hasTaskCounts(steps: readonly unknown[]): boolean {
    const counts = steps.map(step => isObject(step) ? step["taskCount"] : undefined);
    return counts.every(count => Number.isSafeInteger(count) && Number(count) > 0)
        && counts.reduce((sum: number, count) => sum + Number(count), 0) <= jobs.maxTaskCount;
}

function isRouteTerms(value: unknown): value is jobs.RouteTerms {
    return isObject(value) && typeof value["service"] === "string"
        && [value["version"], value["priority"], value["maxAttempts"], value["slackFactor"], value["latencyAllowance"]]
            .every(field => typeof field === "number")
        && (value["advice"] === undefined || isObject(value["advice"]));
}

function isLeadership(value: unknown): value is Leadership {
    return isObject(value) && typeof value["epoch"] === "number" && typeof value["node"] === "string";
}

function isStoredProgress(value: unknown): value is StoredProgress {
    return isObject(value) && typeof value["s"] === "string" && Array.isArray(value["o"]);
}

/** What the machine of a process can do; a figure is undefined when it isn't known. */
export interface ProcessCapacity {
    /** Processor time per second that the process can use, in seconds of a core at normal speed. */
    readonly cores: number | undefined;
    /** Bandwidth of the machine's link in Mbit/s. */
    readonly linkRate: number | undefined;
}

/** Address of a process, at which its peers reach it. */
export interface NodeAddress {
    /** Name of the process. */
    readonly node: string;
    /** Host and port, separated by a colon. */
    readonly address: string;
    readonly capacity: ProcessCapacity;
}

export function encodeNode({ node, address, capacity }: NodeAddress): KeyedRecord {
    return { key: nodePrefix + node, value: cborCodec.encode({ address, capacity }) };
}

/** Decodes the address of a process from the submissions topic; `undefined` for any other record. */
export function decodeNode(key: string, value: Uint8Array): NodeAddress | undefined {
    if (!key.startsWith(nodePrefix)) {
        return undefined;
    }
    const decoded = decode(value);
    return isObject(decoded) && typeof decoded["address"] === "string"
        ? {
            node: key.slice(nodePrefix.length),
            address: decoded["address"],
            // Records of earlier versions lack it.
            capacity: restoreCapacity(isObject(decoded["capacity"]) ? decoded["capacity"] : {}),
        }
        : undefined;
}

function restoreCapacity({ cores, linkRate }: Record<string, unknown>): ProcessCapacity {
    return {
        cores: typeof cores === "number" ? cores : undefined,
        linkRate: typeof linkRate === "number" ? linkRate : undefined,
    };
}
