/**
 * Batches of calls to one service with fields for the stand-ins, for tests that look at single faults.
 */
import * as callRecord from "./call-record.js";
import * as benchSession from "./session.js";

export interface BatchOptions {
    readonly count: number;
    /** Calls at a time. */
    readonly parallel: number;
    /** `GET`, or `POST` under a key of its own. */
    readonly method?: "GET" | "POST";
    readonly urgency?: number;
    readonly timeoutMs?: number;
    /** Run time of each call in ms. */
    readonly serviceMs?: number;
    readonly fields?: Readonly<Record<string, string>>;
}

const defaultUrgency = 3;
const defaultTimeoutMs = 10_000;

let sequence = 0;

/** Makes calls to the first service of the deployment, in order. */
export async function callBatch(
    session: benchSession.Session,
    options: BatchOptions,
): Promise<readonly callRecord.Call[]> {
    const calls: callRecord.Call[] = [];
    let left = options.count;
    async function work(): Promise<void> {
        while (left > 0) {
            left -= 1;
            calls.push(await callOnce(session, options));
        }
    }
    await Promise.all(Array.from({ length: options.parallel }, work));
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
        fields: { "stand-in-service-ms": String(options.serviceMs ?? 1), ...options.fields },
        dueAt: Date.now(),
    });
}

/** How often each result was told last, such as `answered 200` or `unknown answer-cut-short`. */
export function describeFinals(calls: readonly callRecord.Call[]): readonly string[] {
    const labels = calls.map(call => {
        const final = callRecord.readFinal(call);
        return final === undefined
            ? "not sent"
            : `${final.outcome} ${final.reason === "" ? final.status : final.reason}`;
    });
    return [...new Set(labels)].sort();
}
