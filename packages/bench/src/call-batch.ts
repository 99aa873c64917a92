/**
 * Sends batches of calls to one service with header fields for the stand-ins, for tests of single faults.
 */
import * as callRecord from "./call-record.js";
import * as benchSession from "./session.js";

export interface BatchOptions {
    readonly count: number;
    /** Number of concurrent calls. */
    readonly concurrency: number;
    /** Each `POST` gets its own idempotency key. */
    readonly method?: "GET" | "POST";
    readonly urgency?: number;
    readonly timeoutMs?: number;
    /** Run time of each call in ms. */
    readonly runMs?: number;
    readonly fields?: Readonly<Record<string, string>>;
}

const defaultUrgency = 3;
const defaultTimeoutMs = 10_000;

let sequence = 0;

/** Sends calls to the first service of the deployment and resolves with them in the order in which they ended. */
export async function callBatch(
    session: benchSession.Session,
    options: BatchOptions,
): Promise<readonly callRecord.Call[]> {
    const calls: callRecord.Call[] = [];
    let remaining = options.count;
    async function runWorker(): Promise<void> {
        while (remaining > 0) {
            remaining -= 1;
            calls.push(await callOnce(session, options));
        }
    }
    await Promise.all(Array.from({ length: options.concurrency }, runWorker));
    return calls;
}

function callOnce(session: benchSession.Session, options: BatchOptions): Promise<callRecord.Call> {
    sequence += 1;
    const id = `batch-${sequence}`;
    const method = options.method ?? "GET";
    return session.caller.call({
        id,
        service: session.service(0).name,
        method,
        key: method === "GET" ? undefined : `key-${id}`,
        urgency: options.urgency ?? defaultUrgency,
        timeoutMs: options.timeoutMs ?? defaultTimeoutMs,
        fields: { "stand-in-service-ms": String(options.runMs ?? 1), ...options.fields },
        dueAt: Date.now(),
    });
}

/** Lists the distinct final results of the calls, sorted, such as `answered 200` or `unknown answer-cut-short`. */
export function listFinalOutcomes(calls: readonly callRecord.Call[]): readonly string[] {
    const labels = calls.map(call => {
        const last = callRecord.getLastAttempt(call);
        return last === undefined
            ? "not sent"
            : `${last.outcome} ${last.reason === "" ? last.status : last.reason}`;
    });
    return [...new Set(labels)].sort();
}
