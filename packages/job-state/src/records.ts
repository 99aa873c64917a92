/**
 * Codec of the records in the store's keyed topics.
 *
 * The submissions topic holds jobs, cancellations and the addresses of processes; every entry instance appends to it.
 * The ledger holds the identity of the coordinator, the progress of jobs and maintenance waves, and the machine orders;
 * only the coordinator appends to it.
 */
import * as cbor from "cbor-x";
import * as jobs from "./job.js";
import * as progress from "./progress.js";

export const submissionsTopic = "keyed.submissions";
export const ledgerTopic = "keyed.ledger";
/** Producer name under which coordinators append to the ledger; the store fences lower epochs. */
export const ledgerProducer = "coordinator";

const KeyPrefix = { job: "j:", cancellation: "c:", progress: "p:" } as const;
const leaderKey = "leader";
const nodePrefix = "n:";
const wavePrefix = "w:";
const machinePrefix = "m:";

/** Identity of the coordinator, as recorded in the ledger. */
export interface Leadership {
    readonly epoch: number;
    readonly node: string;
    /** Distinguishes restarts of the process. */
    readonly processStart: number;
    readonly resigned: boolean;
    /** With a resignation: all its machine orders were answered, so its successor may order these machines at once. */
    readonly ordersSettled: boolean;
    /** Ms for which the writer had been coordinator, on its steady clock. */
    readonly tenure: number;
}

export type SubmissionRecord =
    | { readonly kind: "job"; readonly job: jobs.Job; }
    | { readonly kind: "cancellation"; readonly id: string; readonly cancelledAt: number; };

export type LedgerRecord =
    | { readonly kind: "leadership"; readonly leadership: Leadership; }
    | { readonly kind: "progress"; readonly id: string; readonly progress: progress.Progress; }
    /** The coordinator of the epoch was about to send an order for the machine, after coordinating for `tenure` ms. */
    | { readonly kind: "machine"; readonly id: string; readonly epoch: number; readonly tenure: number; }
    | { readonly kind: "wave"; readonly number: number; readonly wave: WaveProgress; };

/** Progress of a maintenance wave. */
export interface WaveProgress {
    /** Machines whose maintenance has been ordered. */
    readonly begun: readonly string[];
    readonly completed: boolean;
    /** Unix time in ms at which a coordinator first saw it. */
    readonly seenAt: number;
}

/** One record of a keyed topic. */
export interface KeyedRecord {
    readonly key: string;
    /** Empty in a tombstone, for which the store drops the key. */
    readonly value: Uint8Array;
}

/** A `TaskHistory`: index of the task, last run, failures, runs and checkpoint. */
interface StoredTask {
    readonly t: number;
    readonly l: number;
    readonly f: number;
    readonly r: readonly [number, string][];
    readonly c: string;
}

/** An `Occurrence`: its number, number of tasks, done flags (eight to a byte) and histories. */
interface StoredOccurrence {
    readonly k: number;
    readonly n: number;
    readonly d: Uint8Array;
    readonly h: readonly StoredTask[];
}

/** A `Progress`: status, time of its last change, whether a task has been started, and occurrences. */
interface StoredProgress {
    readonly s: jobs.JobStatus;
    readonly a: number;
    readonly b: boolean;
    readonly o: readonly StoredOccurrence[];
}

const encoder = new cbor.Encoder({ useRecords: false, tagUint8Array: false });

export function encodeJob(job: jobs.Job): KeyedRecord {
    return { key: KeyPrefix.job + job.id, value: encoder.encode(job) };
}

export function encodeCancellation(id: string, cancelledAt: number): KeyedRecord {
    return { key: KeyPrefix.cancellation + id, value: encoder.encode({ cancelledAt }) };
}

/** Tombstones of a job and of its cancellation: the store drops their keys. */
export function encodeJobTombstones(id: string): KeyedRecord[] {
    return [KeyPrefix.job + id, KeyPrefix.cancellation + id].map(key => ({ key, value: new Uint8Array() }));
}

export function encodeProgressTombstone(id: string): KeyedRecord {
    return { key: KeyPrefix.progress + id, value: new Uint8Array() };
}

/** Id of the job that a tombstone deletes; `undefined` for any other record. */
export function decodeJobTombstone(key: string, value: Uint8Array): string | undefined {
    return value.length === 0 && key.startsWith(KeyPrefix.job) ? key.slice(KeyPrefix.job.length) : undefined;
}

export function encodeLeadership(leadership: Leadership): KeyedRecord {
    return { key: leaderKey, value: encoder.encode(leadership) };
}

export function encodeWaveProgress(number: number, wave: WaveProgress): KeyedRecord {
    return { key: wavePrefix + number, value: encoder.encode(wave) };
}

export function encodeMachineOrder(id: string, epoch: number, tenure: number): KeyedRecord {
    return { key: machinePrefix + id, value: encoder.encode({ epoch, tenure }) };
}

export function encodeProgress(id: string, current: progress.Progress): KeyedRecord {
    const stored: StoredProgress = {
        s: current.status,
        a: current.statusAt,
        b: current.begun,
        o: progress.isSettled(current.status) && !progress.hasRuns(current)
            ? []
            : [...current.occurrences].map(([number, occurrence]) => encodeOccurrence(number, occurrence)),
    };
    return { key: KeyPrefix.progress + id, value: encoder.encode(stored) };
}

function encodeOccurrence(number: number, occurrence: progress.Occurrence): StoredOccurrence {
    const histories: StoredTask[] = [];
    for (const [task, history] of occurrence.histories) {
        if (occurrence.done[task] !== 1 || history.runs.length > 0) {
            histories.push({
                t: task,
                l: history.lastRun,
                f: history.failures,
                r: history.runs.map(run => [run.number, run.server]),
                c: history.checkpoint,
            });
        }
    }
    return { k: number, n: occurrence.done.length, d: packFlags(occurrence.done), h: histories };
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

/** Decodes a record of the submissions topic; `undefined` for one that is malformed or of an unknown kind. */
export function decodeSubmission(key: string, value: Uint8Array): SubmissionRecord | undefined {
    const decoded = decode(value);
    if (decoded === undefined) {
        return undefined;
    }
    if (key.startsWith(KeyPrefix.job) && isJob(decoded)) {
        return { kind: "job", job: decoded };
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

/** Decodes a record of the ledger; `undefined` for one that is malformed or of an unknown kind. */
export function decodeLedger(key: string, value: Uint8Array): LedgerRecord | undefined {
    const decoded = decode(value);
    if (decoded === undefined) {
        return undefined;
    }
    if (key === leaderKey && isLeadership(decoded)) {
        const ordersSettled = decoded.ordersSettled === true;
        return { kind: "leadership", leadership: { ...decoded, ordersSettled, tenure: Number(decoded.tenure ?? 0) } };
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
    if (key.startsWith(KeyPrefix.progress) && isStoredProgress(decoded)) {
        return { kind: "progress", id: key.slice(KeyPrefix.progress.length), progress: restoreProgress(decoded) };
    }
    return undefined;
}

function decode(value: Uint8Array): unknown {
    try {
        return encoder.decode(value);
    }
    catch {
        return undefined; // Callers skip records that can't be decoded; `JobTable` counts them.
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
                runs: task.r.map(([number, server]) => ({ number, server })),
                checkpoint: task.c,
            });
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
        && Array.isArray(value["steps"]) && typeof value["submittedAt"] === "number";
}

function isLeadership(value: unknown): value is Leadership {
    return isObject(value) && typeof value["epoch"] === "number" && typeof value["node"] === "string";
}

function isStoredProgress(value: unknown): value is StoredProgress {
    return isObject(value) && typeof value["s"] === "string" && Array.isArray(value["o"]);
}

/** Address at which a process is reached by its peers. */
export interface NodeAddress {
    readonly node: string;
    readonly address: string;
}

export function encodeNode(node: NodeAddress): KeyedRecord {
    return { key: nodePrefix + node.node, value: encoder.encode({ address: node.address }) };
}

/** Decodes the address of a peer; `undefined` for any other record. */
export function decodeNode(key: string, value: Uint8Array): NodeAddress | undefined {
    if (!key.startsWith(nodePrefix)) {
        return undefined;
    }
    const decoded = decode(value);
    return isObject(decoded) && typeof decoded["address"] === "string"
        ? { node: key.slice(nodePrefix.length), address: decoded["address"] }
        : undefined;
}
