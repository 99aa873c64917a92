/**
 * Records of calls and of the responses that callers received.
 */
import * as types from "@catkinwharf/types";

/** One attempt of a call. Times are in ms since the Unix epoch. */
export interface Attempt {
    readonly entry: string;
    readonly startedAt: number;
    readonly endedAt: number;
    /** Outcome in the response; `lost` if there was no complete response. */
    readonly outcome: types.Outcome | "lost";
    readonly reason: string;
    readonly status: number;
    /** Whether an answer belongs to this call; true if there was no answer. */
    readonly matched: boolean;
}

/** A call with all of its attempts, which share one idempotency key. */
export interface Call {
    readonly id: string;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    /** Idempotency key; undefined for idempotent calls. */
    readonly key: string | undefined;
    readonly urgency: number;
    /** Scheduled start of the call, from which its latency is measured. */
    readonly dueAt: number;
    /** Run time in ms that was requested from the stand-in. */
    readonly runMs?: number;
    readonly attempts: readonly Attempt[];
}

/** Returns the last attempt, which holds the call's final outcome; undefined if the call was not sent. */
export function getLastAttempt(call: Call): Attempt | undefined {
    return call.attempts[call.attempts.length - 1];
}

/** Number of calls with the same final outcome and reason. */
export interface CallCount {
    readonly label: string;
    readonly calls: number;
}

/** Counts calls by final outcome and reason. */
export function countFinalOutcomes(calls: readonly Call[]): readonly CallCount[] {
    const counts = new Map<string, number>();
    for (const call of calls) {
        const last = getLastAttempt(call);
        const label = last === undefined
            ? "not sent"
            : `${last.outcome}${last.reason === "" ? "" : ` ${last.reason}`}`;
        counts.set(label, (counts.get(label) ?? 0) + 1);
    }
    return [...counts].map(([label, number]) => ({ label, calls: number })).sort((a, b) => b.calls - a.calls);
}
