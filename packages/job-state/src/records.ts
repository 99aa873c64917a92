/**
 * Codec of the records in the store's keyed topics.
 *
 * Every process appends to the submissions topic: the jobs and cancellations that it receives from callers, and its own
 * address. The coordinator replaces the jobs that have ended by a short form, and removes them later.
 *
 * Only the coordinator appends to the ledger: its identity, the progress of jobs and maintenance waves, the boots of the
 * backend servers, and its orders to move or maintain machines, the instances on which these run.
 */
import * as cbor from "cbor-x";
import * as advance from "./advance-cancellations.js";
import * as endedJob from "./ended-job.js";
import * as indexRanges from "./index-ranges.js";
import * as jobs from "./job.js";
import * as codec from "./occurrence-codec.js";
import * as parts from "./progress-parts.js";
import * as progress from "./progress.js";

export const submissionsTopic = "keyed.submissions";
export const ledgerTopic = "keyed.ledger";
/** Addresses of the processes, which the submissions hold as well: small, so that it is read at once after a start. */
export const peersTopic = "keyed.peers";
/**
 * Producer name under which coordinators append to the ledger. The store refuses an append under it whose epoch is
 * lower than one that it has seen, so a replaced coordinator can't append any more.
 */
export const ledgerProducer = "coordinator";

const KeyPrefix = { job: "j:", cancellation: "c:", advanceCancellation: "a:", progress: "p:" } as const;
const leaderKey = "leader";
const nodePrefix = "n:";
const wavePrefix = "w:";
/** Between the ID of a job, the number of an occurrence and the first task in the key of a part of its progress. */
const partSeparator = "/";
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
    /** Waits because capacity is short; `undefined` while there are none. Records of earlier versions lack it. */
    readonly waits?: ExpectedWaits | undefined;
}

/** Ms for which new jobs are expected to wait because capacity is short. */
export interface ExpectedWaits {
    /** Of jobs beyond their organisation's committed rate, by service. */
    readonly beyondRate: Readonly<Record<string, number>>;
    /** Of an organisation's jobs behind its own earlier ones by its quota, by organisation. */
    readonly quota: Readonly<Record<string, number>>;
}

export type SubmissionRecord =
    | { readonly kind: "job"; readonly job: jobs.Job; }
    /** What is left of a job whose final status is stored. */
    | { readonly kind: "ended"; readonly job: jobs.Job; readonly status: jobs.JobStatus; }
    | { readonly kind: "cancellation"; readonly id: string; readonly cancelledAt: number; }
    | { readonly kind: "advance-cancellation"; readonly cancellation: advance.AdvanceCancellation; };

export type LedgerRecord =
    | { readonly kind: "leadership"; readonly leadership: Leadership; }
    | { readonly kind: "progress"; readonly id: string; readonly progress: progress.Progress; }
    /** Part of a job's progress; `undefined` for one that is obsolete. */
    | {
        readonly kind: "part";
        readonly id: string;
        readonly key: string;
        readonly part: parts.ProgressPart | undefined;
    }
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

/** A `Progress` as it is stored. */
interface StoredProgress {
    /** `status`. */
    readonly s: jobs.JobStatus;
    /** `statusAt`. */
    readonly a: number;
    /** `begun`. */
    readonly b: boolean;
    /** `occurrences`; none if they are stored in parts. */
    readonly o: readonly codec.StoredOccurrence[];
    /** `parts`, size and number of tasks, and `finished`; absent without parts. */
    readonly p?: readonly [number, number, readonly indexRanges.IndexRange[]];
}

const finalStatuses: ReadonlySet<unknown> = new Set(Object.values(jobs.JobStatus).filter(progress.isSettled));

/** Without the extensions of cbor-x: objects become plain CBOR maps, byte arrays plain byte strings. */
const cborCodec = new cbor.Encoder({ useRecords: false, tagUint8Array: false });

/** Key of a job's record in the submissions topic. */
export function formatJobKey(id: string): string {
    return KeyPrefix.job + id;
}

export function encodeJob(job: jobs.Job): KeyedRecord {
    return { key: formatJobKey(job.id), value: cborCodec.encode(job) };
}

/** Encodes the short form of an ended job, which replaces its submission; `status` must be final. */
export function encodeEndedJob(job: jobs.Job, status: jobs.JobStatus): KeyedRecord {
    return { key: formatJobKey(job.id), value: cborCodec.encode(endedJob.shortenJob(job, status)) };
}

export function encodeCancellation(id: string, cancelledAt: number): KeyedRecord {
    return { key: KeyPrefix.cancellation + id, value: cborCodec.encode({ cancelledAt }) };
}

/** Encodes a cancellation of a job that isn't stored. Earlier versions don't know such a record, and skip it. */
export function encodeAdvanceCancellation(cancellation: advance.AdvanceCancellation): KeyedRecord {
    const key = [KeyPrefix.advanceCancellation + cancellation.id, advance.digestScope(cancellation)].join(
        partSeparator,
    );
    const { queue, organisation, cancelledAt } = cancellation;
    return {
        key,
        value: cborCodec.encode({ queue, cancelledAt, ...organisation === undefined ? {} : { organisation } }),
    };
}

/** Whether a record of the submissions topic is a cancellation of a job that isn't stored, or its tombstone. */
export function isAdvanceCancellationKey(key: string): boolean {
    return key.startsWith(KeyPrefix.advanceCancellation);
}

/** Tombstones of a job and of its cancellation, for the submissions topic. */
export function encodeJobTombstones(id: string): KeyedRecord[] {
    return [encodeTombstone(formatJobKey(id)), encodeCancellationTombstone(id)];
}

export function encodeCancellationTombstone(id: string): KeyedRecord {
    return encodeTombstone(KeyPrefix.cancellation + id);
}

/** Tombstones of a job's progress and of its parts, for the ledger. */
export function encodeProgressTombstones(id: string, storedParts: Iterable<string>): KeyedRecord[] {
    return [KeyPrefix.progress + id, ...storedParts].map(encodeTombstone);
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
 * Encodes a job's progress in one record. Of a settled job without runs only the status is stored: no task of it will start
 * again.
 */
export function encodeProgress(id: string, current: progress.Progress): KeyedRecord {
    return encodeStored(id, current, {
        o: progress.isOver(current)
            ? []
            : [...current.occurrences].map(([occurrence, occurrenceProgress]) =>
                codec.encodeOccurrence(occurrence, occurrenceProgress)
            ),
    });
}

/** Encodes the status of a job without its tasks. */
export function encodeStatus(id: string, current: progress.Progress): KeyedRecord {
    return encodeStored(id, current, { o: [] });
}

function encodeStored(id: string, current: progress.Progress, tasks: Pick<StoredProgress, "o" | "p">): KeyedRecord {
    const stored: StoredProgress = { s: current.status, a: current.statusAt, b: current.begun, ...tasks };
    return { key: KeyPrefix.progress + id, value: cborCodec.encode(stored) };
}

/** Records of a job's changed progress, in the order in which they have to be stored. */
export interface ProgressRecords {
    readonly parts: readonly KeyedRecord[];
    /** Record of the job itself, which holds its status. */
    readonly job: KeyedRecord;
    /** Tombstones of parts that aren't needed any more. */
    readonly obsolete: readonly KeyedRecord[];
}

/**
 * Takes what has changed of a job's progress: in one record, or if that might not suffice, in parts.
 *
 * @param storedParts keys of the parts in the ledger; updated
 * @param recordSize largest size of a record in bytes
 */
export function takeProgressRecords(
    job: jobs.Job,
    current: progress.Progress,
    storedParts: Set<string>,
    recordSize: number,
): ProgressRecords {
    const { id } = job;
    if (progress.isOver(current)) {
        const obsolete = [...storedParts].map(encodeTombstone);
        storedParts.clear();
        return { parts: [], job: encodeStatus(id, current), obsolete };
    }
    if (current.parts === undefined && parts.fitsOneRecord(job, recordSize)) {
        return { parts: [], job: encodeProgress(id, current), obsolete: [] };
    }
    const taskCount = jobs.countTasks(job);
    if (current.parts === undefined) {
        current.parts = { size: parts.computePartSize(recordSize), taskCount };
        parts.touchAll(current);
    }
    const { size } = current.parts;
    const { changed, finished } = parts.takeChangedParts(current, current.parts);
    const changedParts = changed.map(({ occurrence, range }) => {
        const key = formatPartKey(id, occurrence, range.first);
        storedParts.add(key);
        return {
            key,
            value: cborCodec.encode(parts.encodePart(occurrence, current.occurrences.get(occurrence)!, range)),
        };
    });
    const obsolete: KeyedRecord[] = [];
    for (const occurrence of finished) {
        for (let first = 0; first < taskCount; first += size) {
            const key = formatPartKey(id, occurrence, first);
            if (storedParts.delete(key)) {
                obsolete.push(encodeTombstone(key));
            }
        }
    }
    const jobRecord = encodeStored(id, current, { o: [], p: [size, taskCount, current.finished.ranges] });
    return { parts: changedParts, job: jobRecord, obsolete };
}

/** Tombstone of the record with this key. */
export function encodeTombstone(key: string): KeyedRecord {
    return { key, value: new Uint8Array() };
}

function formatPartKey(id: string, occurrence: number, firstTask: number): string {
    return KeyPrefix.progress + [id, occurrence, firstTask].join(partSeparator);
}

/**
 * Decodes a job, also an ended one, or a cancellation from the submissions topic; `undefined` for any other record.
 * Callers try `decodeNode` and `decodeJobTombstone` first, which decode the other kinds.
 */
export function decodeSubmission(key: string, value: Uint8Array): SubmissionRecord | undefined {
    const decoded = decode(value);
    if (decoded === undefined) {
        return undefined;
    }
    if (key.startsWith(KeyPrefix.job) && isJob(decoded)) {
        if (!("e" in decoded)) {
            return { kind: "job", job: selectKnownFields(decoded) };
        }
        return isEndedJob(decoded)
            ? { kind: "ended", job: endedJob.restoreEndedJob(decoded), status: decoded.e }
            : undefined;
    }
    if (key.startsWith(KeyPrefix.cancellation) && isObject(decoded) && typeof decoded["cancelledAt"] === "number") {
        return {
            kind: "cancellation",
            id: key.slice(KeyPrefix.cancellation.length),
            cancelledAt: decoded["cancelledAt"],
        };
    }
    return decodeAdvanceCancellation(key, decoded);
}

function decodeAdvanceCancellation(key: string, decoded: unknown): SubmissionRecord | undefined {
    if (!isAdvanceCancellationKey(key) || !isObject(decoded)) {
        return undefined;
    }
    const { queue, organisation, cancelledAt } = decoded;
    const isOrganisation = organisation === undefined || typeof organisation === "string";
    if (typeof queue !== "string" || typeof cancelledAt !== "number" || !isOrganisation) {
        return undefined;
    }
    const id = key.slice(KeyPrefix.advanceCancellation.length, key.indexOf(partSeparator));
    return { kind: "advance-cancellation", cancellation: { id, queue, organisation, cancelledAt } };
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
    return Array.isArray(decoded) ? decoded.filter(job => isJob(job)).map(job => selectKnownFields(job)) : [];
}

/** Leaves out a route or an organisation that can't be read; records of earlier versions lack both. */
function selectKnownFields(job: jobs.Job): jobs.Job {
    return {
        ...job,
        route: isRouteTerms(job.route) ? job.route : undefined,
        organisation: typeof job.organisation === "string" ? job.organisation : undefined,
    };
}

/** Whether a record of the ledger holds the progress of a job, by its key. */
export function isProgressKey(key: string): boolean {
    return key.startsWith(KeyPrefix.progress);
}

/**
 * Decodes a record of the ledger; `undefined` for one that is malformed, of an unknown kind or a tombstone, but for that of
 * a server or of a part of a job's progress.
 */
export function decodeLedger(key: string, value: Uint8Array): LedgerRecord | undefined {
    if (key.startsWith(serverPrefix)) {
        return { kind: "server", id: key.slice(serverPrefix.length), boot: decodeServerBoot(value) };
    }
    if (isProgressKey(key) && key.includes(partSeparator)) {
        const id = key.slice(KeyPrefix.progress.length, key.indexOf(partSeparator));
        return { kind: "part", id, key, part: decodePart(value) };
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
        const waits = restoreWaits(decoded.waits);
        const fields = { ordersSettled, tenure, lateness, startDelay, ...(waits === undefined ? {} : { waits }) };
        return { kind: "leadership", leadership: { ...decoded, ...fields } };
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

function decodePart(value: Uint8Array): parts.ProgressPart | undefined {
    const stored = value.length === 0 ? undefined : decode(value);
    return isStoredPart(stored) ? parts.restorePart(stored) : undefined;
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
    for (const occurrence of stored.o) {
        const { k: number, n: taskCount, d: flags } = occurrence;
        const done = codec.unpackFlags(flags, { first: 0, count: taskCount });
        restored.occurrences.set(number, { taskCount, done, histories: codec.restoreHistories(occurrence) });
    }
    if (stored.p !== undefined) {
        const [size, taskCount, finished] = stored.p;
        restored.parts = { size, taskCount };
        restored.finished = new indexRanges.IndexRanges(finished);
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

function isEndedJob(job: object): job is endedJob.StoredEndedJob {
    return "e" in job && finalStatuses.has(job.e);
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

function restoreWaits(value: unknown): ExpectedWaits | undefined {
    return isObject(value)
        ? { beyondRate: restoreNumbers(value["beyondRate"]), quota: restoreNumbers(value["quota"]) }
        : undefined;
}

function restoreNumbers(value: unknown): Record<string, number> {
    const entries = isObject(value) ? Object.entries(value) : [];
    return Object.fromEntries(
        entries.filter((entry): entry is [string, number] => typeof entry[1] === "number" && Number.isFinite(entry[1])),
    );
}

function isStoredPart(value: unknown): value is parts.StoredPart {
    return isObject(value) && value["d"] instanceof Uint8Array && Array.isArray(value["h"])
        && ["k", "n", "i", "m"].every(field => Number.isSafeInteger(value[field]));
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

/** Decodes the address of a process from the submissions or the peers topic; `undefined` for any other record. */
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
